import {
  type AdapterHash,
  adapterHash,
  type AdapterName,
  type EngineState,
  type ExpectedLoad,
  type Instant,
  isOlderStart,
  milliseconds,
  type NodeId,
  type RegisteredServer,
} from "@foxtailwind/core";
import type { EngineDigest } from "@foxtailwind/protocol";
import type { ModelUse } from "./caller_wire.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { Knowledge } from "./knowledge.ts";
import type { ServerLoads } from "./server_loads.ts";
import { decodeStart } from "./start_message.ts";

/** An engine as a candidate for a request, with the owner to ask for a use. */
export interface EngineCandidate extends EngineState {
  readonly server: RegisteredServer;
  /** `undefined` if no owner is known. */
  readonly owner?: NodeId;
  /** The owner's IP address and port. */
  readonly address?: string;
  /** Whether all its places were in use. */
  readonly isFull: boolean;
}

/** What a request needs of an engine. */
export interface VersionedModelUse extends ModelUse {
  /** The lowest version of its adapter that may serve it. */
  readonly minimumVersion: number;
}

/** Dependencies of `EngineCandidates`. */
export interface EngineCandidatesParts {
  readonly self: NodeId;
  readonly knowledge: Knowledge;
  readonly owners: EngineOwners;
  readonly loads: ServerLoads;
}

/**
 * Describes engines as candidates for requests, from their owners' digests or,
 * without one, from the registry.
 */
export class EngineCandidates {
  readonly #parts: EngineCandidatesParts;
  #lastHashed:
    | { readonly name: AdapterName; readonly hash: AdapterHash }
    | undefined;

  /** @param parts The dependencies. */
  constructor(parts: EngineCandidatesParts) {
    this.#parts = parts;
  }

  /**
   * Describes an engine as a candidate for a request.
   * @param now The present time.
   * @param server The engine.
   * @param use What the request needs of the engine.
   * @returns The candidate, or `undefined` if it can't take the request.
   */
  describe(
    now: Instant,
    server: RegisteredServer,
    use: VersionedModelUse,
  ): EngineCandidate | undefined {
    const { loads } = this.#parts;
    const load = loads.loadOf(server);
    const prefillTime = load.prefillTimes.estimate(use.promptTokens);
    const found = this.#findDigest(now, server);
    // An owner that reaches no engine knows nothing of this one.
    if (
      found === undefined || found.unreachedServices.includes(server.service)
    ) {
      const holdsAdapter = isRegisteredAsHolding(server, use);
      if (!server.models.some((held) => held.model === use.model)) {
        return undefined;
      }
      return {
        id: server.id,
        server,
        expectedWait: load.decayedLatency(now),
        prefillTime,
        running: 0,
        canOrderLoads: false,
        availableSlots: 0,
        holdsAdapter,
        isLoading: false,
        isFull: found?.digest.isFull ?? false,
      };
    }
    const { digest, owner, address } = found;
    this.#observe(server, digest);
    const held = digest.adapters.find((one) =>
      one.adapter === use.adapter && one.model === use.model
    );
    const isNewEnough = held !== undefined &&
      held.version >= use.minimumVersion;
    return {
      id: server.id,
      server,
      owner,
      address,
      expectedWait: digest.waitMilliseconds + load.decayedLatency(now),
      prefillTime,
      running: digest.running,
      canOrderLoads: digest.isReachable,
      availableSlots: digest.room,
      holdsAdapter: digest.isReachable &&
        (use.adapter === undefined || (isNewEnough && !held.isLoading)),
      isLoading: isNewEnough && held.isLoading,
      isFull: digest.isFull,
      ...this.#expectLoad(server, digest, use),
      draw: Math.random(),
    };
  }

  /** Remembers what an engine holds, also for when it holds it no longer. */
  #observe({ id }: RegisteredServer, digest: EngineDigest): void {
    const { start, adapters, cacheSize } = digest;
    if (cacheSize === 0) return;
    this.#parts.knowledge.cachedAdapters.observe(id, {
      start: decodeStart(start),
      adapters,
      cacheSize,
    });
  }

  /** Estimates how an engine would load the adapter of a request. */
  #expectLoad(
    { id }: RegisteredServer,
    digest: EngineDigest,
    { model, adapter, minimumVersion }: VersionedModelUse,
  ): { readonly load?: ExpectedLoad } {
    if (adapter === undefined) return {};
    const own = this.#parts.owners.find(id);
    if (own !== undefined) {
      return { load: own.expectedLoad({ model, adapter }, minimumVersion) };
    }
    const { start, cacheSize, loadMilliseconds, reloadMilliseconds } = digest;
    if (loadMilliseconds === 0) return {};
    const isCached = this.#parts.knowledge.cachedAdapters.has(
      id,
      { start: decodeStart(start), cacheSize },
      { hash: this.#hashOf({ model, adapter }), minimumVersion },
    );
    return {
      load: isCached
        ? { source: "cache", time: milliseconds(reloadMilliseconds) }
        : { source: "store", time: milliseconds(loadMilliseconds) },
    };
  }

  /** Hashes an adapter; all engines are described for one after the other. */
  #hashOf(name: AdapterName): AdapterHash {
    const { model, adapter } = name;
    const last = this.#lastHashed;
    if (last?.name.adapter === adapter && last.name.model === model) {
      return last.hash;
    }
    this.#lastHashed = { name, hash: adapterHash(name) };
    return this.#lastHashed.hash;
  }

  /** Finds the owner's digest of an engine, unless it is of an older start. */
  #findDigest(now: Instant, { id, start }: RegisteredServer) {
    const { knowledge, owners, self } = this.#parts;
    const ownEngine = owners.find(id);
    if (ownEngine !== undefined) {
      return {
        digest: ownEngine.digest,
        owner: self,
        address: "self",
        unreachedServices: [],
      };
    }
    const owner = knowledge.claims.owner(id);
    if (owner === undefined) return undefined;
    const found = knowledge.peers.findEngine(now, id, owner);
    if (found === undefined) return undefined;
    const isOutdated = isOlderStart(decodeStart(found.digest.start), start);
    return isOutdated ? undefined : found;
  }
}

function isRegisteredAsHolding(
  server: RegisteredServer,
  use: VersionedModelUse,
): boolean {
  const held = server.models.find((one) => one.model === use.model);
  if (held === undefined) return false;
  if (use.adapter === undefined) return true;
  const version = held.adapters.get(use.adapter);
  return version !== undefined && version >= use.minimumVersion;
}
