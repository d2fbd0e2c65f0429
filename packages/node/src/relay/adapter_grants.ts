import {
  adapterId,
  type BackendServerId,
  backendServerId,
  milliseconds,
  modelId,
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
import type { UseAnswer, UseRequest } from "./engine_use.ts";
import { readStart, writeStart } from "./start_message.ts";

/** After so many milliseconds, an owner counts as not told of a miss. */
const MISS_LIMIT = 500;

/** What an owner answers, or that it can't be reached. */
export type GrantAnswer = UseAnswer | { readonly kind: "unreachable" };

/** Where to ask for the use of an adapter. */
export interface GrantAddress {
  readonly engine: BackendServerId;
  readonly owner: NodeId;
  /** IP literal and port of the owner. */
  readonly address: string;
}

/** Asks the owners of engines, this node included, for uses of adapters. */
export class AdapterGrants {
  readonly #self: NodeId;
  readonly #owners: EngineOwners;
  readonly #channels: PeerChannels;

  /**
   * @param self This node.
   * @param owners The engines that it owns.
   * @param channels Its connections to the others.
   */
  constructor(self: NodeId, owners: EngineOwners, channels: PeerChannels) {
    this.#self = self;
    this.#owners = owners;
    this.#channels = channels;
  }

  /**
   * Asks for a use.
   * @param where The engine and its owner.
   * @param request What is to be used.
   * @param signal Ends the wait.
   * @returns The answer.
   */
  ask(
    where: GrantAddress,
    request: UseRequest,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    if (where.owner !== this.#self) {
      return this.#askPeer(where, request, signal);
    }
    const owner = this.#owners.find(where.engine);
    if (owner === undefined) return Promise.resolve({ kind: "not_owner" });
    return owner.use(request, signal);
  }

  /**
   * Tells an engine's owner that the engine lacked what it had granted. Where
   * the owner does not hear of it, the next miss is told.
   * @param where The engine and its owner.
   */
  missed({ engine, owner, address }: GrantAddress): void {
    if (owner === this.#self) {
      this.#owners.find(engine)?.missed();
      return;
    }
    this.#client(address).noteMiss(
      { engine },
      new Metadata(),
      { deadline: Date.now() + MISS_LIMIT },
      () => undefined,
    );
  }

  #client(address: string): RelayPeersClient {
    return new RelayPeersClient(address, credentials.createInsecure(), {
      channelOverride: this.#channels.channel(address),
    });
  }

  #askPeer(
    { engine, address }: GrantAddress,
    request: UseRequest,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    const call = this.#client(address).useAdapter({
      engine,
      model: request.model,
      adapter: request.adapter ?? "",
      minimumVersion: request.minimumVersion,
      readingMilliseconds: Math.round(request.reading),
      timeLeftMilliseconds: Math.round(request.timeLeft),
      needsBreak: request.needsBreak,
    });
    const over = new AbortController();
    const release = () => {
      call.cancel();
    };
    return new Promise((resolve) => {
      const leave = () => {
        release();
        resolve({ kind: "unreachable" });
      };
      signal.addEventListener("abort", leave, { once: true });
      call.on("data", (grant: AdapterGrant) => {
        signal.removeEventListener("abort", leave);
        resolve(toAnswer(grant, over.signal, release));
      });
      call.on("error", () => {
        signal.removeEventListener("abort", leave);
        resolve({ kind: "unreachable" });
      });
      call.on("end", () => {
        over.abort();
        resolve({ kind: "unreachable" });
      });
    });
  }
}

/**
 * Answers a peer that asks for a use; the call's end ends the use.
 * @param owners The engines that this node owns.
 * @param call The peer's call.
 */
export async function serveUse(
  owners: EngineOwners,
  call: ServerWritableStream<AdapterUse, AdapterGrant>,
): Promise<void> {
  const { engine, model, adapter, minimumVersion } = call.request;
  const owner = owners.find(backendServerId(engine));
  if (owner === undefined) {
    writeRefusal(call, GrantOutcome.NOT_OWNER);
    return;
  }
  const departure = new AbortController();
  call.once("cancelled", () => {
    departure.abort();
  });
  const answer = await owner.use({
    model: modelId(model),
    ...(adapter === "" ? {} : { adapter: adapterId(adapter) }),
    minimumVersion,
    reading: milliseconds(call.request.readingMilliseconds),
    timeLeft: milliseconds(call.request.timeLeftMilliseconds),
    needsBreak: call.request.needsBreak,
  }, departure.signal);
  if (answer.kind !== "granted") {
    writeRefusal(
      call,
      answer.kind === "no_room" ? GrantOutcome.NO_ROOM : GrantOutcome.NOT_OWNER,
    );
    return;
  }
  if (call.cancelled || answer.over.aborted) {
    answer.release();
    call.end();
    return;
  }
  call.once("cancelled", answer.release);
  call.once("close", answer.release);
  answer.over.addEventListener("abort", () => {
    call.end();
  }, { once: true });
  call.write({
    outcome: GrantOutcome.GRANTED,
    version: answer.version,
    start: writeStart(answer.start),
    waitMilliseconds: owner.digest.waitMilliseconds,
  });
}

function writeRefusal(
  call: ServerWritableStream<AdapterUse, AdapterGrant>,
  outcome: GrantOutcome,
): void {
  call.write({ outcome, version: 0, waitMilliseconds: 0, start: 0 });
  call.end();
}

function toAnswer(
  grant: AdapterGrant,
  over: AbortSignal,
  release: () => void,
): UseAnswer {
  switch (grant.outcome) {
    case GrantOutcome.GRANTED:
      return {
        kind: "granted",
        version: grant.version,
        start: readStart(grant.start),
        over,
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
