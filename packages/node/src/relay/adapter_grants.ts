import {
  type BackendServerId,
  backendServerId,
  type NodeId,
} from "@foxtailwind/core";
import {
  type AdapterGrant,
  type AdapterUse,
  GrantOutcome,
  RelayPeersClient,
} from "@foxtailwind/protocol";
import {
  credentials,
  Metadata,
  type ServerWritableStream,
} from "@grpc/grpc-js";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { UseAnswer, UseRefusal, UseRequest } from "./engine_use.ts";
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
  readonly #channels: PeerChannels;

  /**
   * @param self The id of this node.
   * @param owners The engines that this node owns.
   * @param channels The gRPC channels to other nodes.
   */
  constructor(self: NodeId, owners: EngineOwners, channels: PeerChannels) {
    this.#self = self;
    this.#owners = owners;
    this.#channels = channels;
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
    this.#client(address).noteMiss(
      { engine },
      new Metadata(),
      { deadline: Date.now() + MISS_REPORT_TIMEOUT_MILLISECONDS },
      () => undefined,
    );
  }

  #client(address: string): RelayPeersClient {
    return new RelayPeersClient(address, credentials.createInsecure(), {
      channelOverride: this.#channels.getChannel(address),
    });
  }

  #requestFromPeer(
    { engine, address }: EngineOwnerAddress,
    request: UseRequest,
    signal: AbortSignal,
    onQueued: () => void,
  ): Promise<GrantAnswer> {
    const call = this.#client(address).useAdapter(
      encodeUse(engine, request),
    );
    call.once("metadata", onQueued);
    const useEnd = new AbortController();
    const release = () => {
      call.cancel();
    };
    return new Promise((resolve) => {
      const abandon = () => {
        release();
        resolve({ kind: "unreachable" });
      };
      signal.addEventListener("abort", abandon, { once: true });
      call.on("data", (grant: AdapterGrant) => {
        signal.removeEventListener("abort", abandon);
        resolve(decodeAnswer(grant, useEnd.signal, release));
      });
      call.on("error", () => {
        signal.removeEventListener("abort", abandon);
        resolve({ kind: "unreachable" });
      });
      call.on("end", () => {
        useEnd.abort();
        resolve({ kind: "unreachable" });
      });
    });
  }
}

/**
 * Serves a peer's request for a use. The use lasts until the call ends. The
 * head of the answer tells the peer that its request waits here.
 * @param owners The engines that this node owns.
 * @param call The peer's call.
 */
export async function serveAdapterUse(
  owners: EngineOwners,
  call: ServerWritableStream<AdapterUse, AdapterGrant>,
): Promise<void> {
  const owner = owners.find(backendServerId(call.request.engine));
  if (owner === undefined) {
    writeRefusal(call, { kind: "not_owner" });
    return;
  }
  const cancellation = new AbortController();
  call.once("cancelled", () => {
    cancellation.abort();
  });
  const queued = setImmediate(() => {
    call.sendMetadata(new Metadata());
  });
  const answer = await owner.requestUse(
    decodeUse(call.request),
    cancellation.signal,
  );
  clearImmediate(queued);
  if (answer.kind !== "granted") {
    writeRefusal(call, answer);
    return;
  }
  if (call.cancelled || answer.endSignal.aborted) {
    answer.release();
    call.end();
    return;
  }
  call.once("cancelled", answer.release);
  call.once("close", answer.release);
  answer.endSignal.addEventListener("abort", () => {
    call.end();
  }, { once: true });
  call.write({
    outcome: GrantOutcome.GRANTED,
    version: answer.version,
    start: encodeStart(answer.start),
    waitMilliseconds: owner.digest.waitMilliseconds,
    retryAfterMilliseconds: 0,
  });
}

function writeRefusal(
  call: ServerWritableStream<AdapterUse, AdapterGrant>,
  refusal: UseRefusal,
): void {
  const isFull = refusal.kind === "no_room";
  call.write({
    outcome: isFull ? GrantOutcome.NO_ROOM : GrantOutcome.NOT_OWNER,
    version: 0,
    waitMilliseconds: 0,
    start: 0,
    retryAfterMilliseconds: Math.ceil(
      (isFull ? refusal.retryAfter : undefined) ?? 0,
    ),
  });
  call.end();
}
