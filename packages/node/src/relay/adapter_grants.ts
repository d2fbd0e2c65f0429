import {
  adapterId,
  type BackendServerId,
  backendServerId,
  milliseconds,
  modelId,
  type NodeId,
} from "@foxtailwind/core";
import { type AdapterGrant, GrantOutcome } from "@foxtailwind/protocol";
import { Metadata } from "@grpc/grpc-js";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { UseAnswer, UseRequest } from "./engine_use.ts";
import type { UseCall } from "./links/link_service.ts";
import { PeerLinks } from "./links/peer_links.ts";
import { decodeStart, encodeStart } from "./start_message.ts";

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
   * @returns The answer.
   */
  requestUse(
    target: EngineOwnerAddress,
    request: UseRequest,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    if (target.owner !== this.#self) {
      return this.#requestFromPeer(target, request, signal);
    }
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
  ): Promise<GrantAnswer> {
    const useEnd = new AbortController();
    return new Promise((resolve) => {
      const abandon = () => {
        use.cancel();
        resolve({ kind: "unreachable" });
      };
      const use = this.#links.getLink(address).requestUse({
        engine,
        model: request.model,
        adapter: request.adapter ?? "",
        minimumVersion: request.minimumVersion,
        readingMilliseconds: Math.round(request.prefillTime),
        timeLeftMilliseconds: Math.round(request.timeLeft),
        needsBreak: request.needsBreak,
      }, {
        onGrant: (grant) => {
          signal.removeEventListener("abort", abandon);
          resolve(toAnswer(grant, useEnd.signal, use.cancel));
        },
        onEnd: () => {
          signal.removeEventListener("abort", abandon);
          useEnd.abort();
          resolve({ kind: "unreachable" });
        },
        onLost: () => {
          signal.removeEventListener("abort", abandon);
          resolve({ kind: "unreachable" });
        },
      });
      signal.addEventListener("abort", abandon, { once: true });
      if (signal.aborted) abandon();
    });
  }
}

/**
 * Serves a peer's request for a use. The use lasts until the peer ends it.
 * @param owners The engines that this node owns.
 * @param call The peer's request.
 */
export async function serveAdapterUse(
  owners: EngineOwners,
  call: UseCall,
): Promise<void> {
  const { engine, model, adapter, minimumVersion } = call.request;
  const owner = owners.find(backendServerId(engine));
  if (owner === undefined) {
    writeRefusal(call, GrantOutcome.NOT_OWNER);
    return;
  }
  const answer = await owner.requestUse({
    model: modelId(model),
    ...(adapter === "" ? {} : { adapter: adapterId(adapter) }),
    minimumVersion,
    prefillTime: milliseconds(call.request.readingMilliseconds),
    timeLeft: milliseconds(call.request.timeLeftMilliseconds),
    needsBreak: call.request.needsBreak,
  }, call.signal);
  if (answer.kind !== "granted") {
    writeRefusal(
      call,
      answer.kind === "no_room" ? GrantOutcome.NO_ROOM : GrantOutcome.NOT_OWNER,
    );
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
  });
}

function writeRefusal(call: UseCall, outcome: GrantOutcome): void {
  call.write({ outcome, version: 0, start: 0 });
  call.end();
}

function toAnswer(
  grant: AdapterGrant,
  endSignal: AbortSignal,
  release: () => void,
): UseAnswer {
  switch (grant.outcome) {
    case GrantOutcome.GRANTED:
      return {
        kind: "granted",
        version: grant.version,
        start: decodeStart(grant.start),
        endSignal,
        release,
      };
    case GrantOutcome.NO_ROOM:
      release();
      return { kind: "no_room" };
    case GrantOutcome.NOT_OWNER:
    case GrantOutcome.GRANT_OUTCOME_UNSPECIFIED:
    case GrantOutcome.UNRECOGNIZED:
      release();
      return { kind: "not_owner" };
  }
}
