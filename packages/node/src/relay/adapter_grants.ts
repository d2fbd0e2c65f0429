import {
  type BackendServerId,
  backendServerId,
  milliseconds,
  type NodeId,
} from "@foxtailwind/core";
import { GrantOutcome } from "@foxtailwind/protocol";
import { Metadata } from "@grpc/grpc-js";
import type { PeerChannels } from "../peers/peer_channels.ts";
import { encodeDuration } from "./encoded_numbers.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { UseAnswer, UseRefusal, UseRequest } from "./engine_use.ts";
import type { UseCall } from "./links/link_service.ts";
import { PeerLinks } from "./links/peer_links.ts";
import { encodeStart } from "./start_message.ts";
import { decodeAnswer, decodeUse, encodeUse } from "./use_message.ts";

/** Timeout of a call that reports a miss to an engine's owner. */
const MISS_REPORT_TIMEOUT_MILLISECONDS = 500;

/** The owner's answer, or that the owner can't be reached. */
export type GrantAnswer = UseAnswer | { readonly kind: "unreachable" };

/** An engine, its owner and the owner's address. */
export interface EngineOwnerAddress {
  readonly engine: BackendServerId;
  readonly owner: NodeId;
  /** The owner's IP address and port. */
  readonly address: string;
}

/**
 * Requests uses of adapters from the nodes that own the engines, which may be
 * this node.
 */
export class AdapterGrants {
  readonly #self: NodeId;
  readonly #owners: EngineOwners;
  readonly #links: PeerLinks;

  /**
   * @param self The id of this node.
   * @param owners The engines that this node owns.
   * @param channels The gRPC channels to other nodes.
   */
  constructor(self: NodeId, owners: EngineOwners, channels: PeerChannels) {
    this.#self = self;
    this.#owners = owners;
    this.#links = new PeerLinks(channels);
  }

  /**
   * Requests the use of an adapter or a base model.
   * @param target The engine and its owner.
   * @param request The requested use.
   * @param signal Cancels the request.
   * @param onQueued Called when the owner has the request, before its answer.
   * @returns The answer.
   */
  requestUse(
    target: EngineOwnerAddress,
    request: UseRequest,
    signal: AbortSignal,
    onQueued: () => void = () => undefined,
  ): Promise<GrantAnswer> {
    if (target.owner !== this.#self) {
      return this.#requestFromPeer(target, request, signal, onQueued);
    }
    onQueued();
    const owner = this.#owners.find(target.engine);
    if (owner === undefined) return Promise.resolve({ kind: "not_owner" });
    return owner.requestUse(request, signal);
  }

  /**
   * Reports to an engine's owner that the engine lacked an adapter or model
   * whose use was granted. The report isn't repeated if it fails: the owner
   * hears of the next miss.
   * @param target The engine and its owner.
   */
  reportMiss({ engine, owner, address }: EngineOwnerAddress): void {
    if (owner === this.#self) {
      this.#owners.find(engine)?.recordMiss();
      return;
    }
    this.#links.createClient(address).noteMiss(
      { engine },
      new Metadata(),
      { deadline: Date.now() + MISS_REPORT_TIMEOUT_MILLISECONDS },
      () => undefined,
    );
  }

  #requestFromPeer(
    { engine, address }: EngineOwnerAddress,
    request: UseRequest,
    signal: AbortSignal,
    onQueued: () => void,
  ): Promise<GrantAnswer> {
    const useEnd = new AbortController();
    return new Promise((resolve) => {
      const abandon = () => {
        use.cancel();
        resolve({ kind: "unreachable" });
      };
      const settle = (answer: GrantAnswer) => {
        signal.removeEventListener("abort", abandon);
        resolve(answer);
      };
      const message = encodeUse(engine, request);
      const use = this.#links.getLink(address).requestUse(message, {
        onQueued,
        onGrant: (grant) => {
          settle(decodeAnswer(grant, useEnd.signal, use.cancel));
        },
        onEnd: () => {
          useEnd.abort();
          settle({ kind: "unreachable" });
        },
        onLost: () => {
          settle({ kind: "unreachable" });
        },
      });
      signal.addEventListener("abort", abandon, { once: true });
      if (signal.aborted) abandon();
    });
  }
}

/**
 * Serves a peer's request for a use. The use lasts until the peer ends it. A
 * peer whose request isn't answered at once is told that it waits here.
 * @param owners The engines that this node owns.
 * @param call The peer's request.
 */
export async function serveAdapterUse(
  owners: EngineOwners,
  call: UseCall,
): Promise<void> {
  const owner = owners.find(backendServerId(call.request.engine));
  if (owner === undefined) {
    writeRefusal(call, { kind: "not_owner" });
    return;
  }
  const queued = setImmediate(call.notifyQueued);
  const answer = await owner.requestUse(decodeUse(call.request), call.signal);
  clearImmediate(queued);
  if (answer.kind !== "granted") {
    writeRefusal(call, answer);
    return;
  }
  if (call.signal.aborted || answer.endSignal.aborted) {
    answer.release();
    call.end();
    return;
  }
  call.signal.addEventListener("abort", answer.release, { once: true });
  answer.endSignal.addEventListener("abort", call.end, { once: true });
  call.write({
    outcome: GrantOutcome.GRANTED,
    version: answer.version,
    start: encodeStart(answer.start),
    retryAfterMilliseconds: 0,
  });
}

function writeRefusal(call: UseCall, refusal: UseRefusal): void {
  const isFull = refusal.kind === "no_room";
  call.write({
    outcome: isFull ? GrantOutcome.NO_ROOM : GrantOutcome.NOT_OWNER,
    version: 0,
    start: 0,
    retryAfterMilliseconds: encodeDuration(
      milliseconds(Math.ceil((isFull ? refusal.retryAfter : undefined) ?? 0)),
    ),
  });
  call.end();
}
