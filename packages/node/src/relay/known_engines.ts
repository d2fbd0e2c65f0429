import {
  type EngineState,
  type Instant,
  isOlderStart,
  type NodeId,
  type RegisteredServer,
} from "@foxtailwind/core";
import type { ModelUse } from "./caller_wire.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { Knowledge } from "./knowledge.ts";
import type { ServerLoads } from "./server_loads.ts";
import { readStart } from "./start_message.ts";

/** An engine as places are chosen by, and who is asked for one there. */
export interface KnownEngine extends EngineState {
  readonly server: RegisteredServer;
  /** Left out where no owner is known. */
  readonly owner?: NodeId;
  /** IP literal and port of the owner. */
  readonly address?: string;
}

/** What a request needs at an engine. */
export interface NeededUse extends ModelUse {
  /** The oldest version of its adapter that may serve it. */
  readonly minimumVersion: number;
}

/** What descriptions of engines are drawn from. */
export interface KnownEnginesParts {
  readonly self: NodeId;
  readonly knowledge: Knowledge;
  readonly owners: EngineOwners;
  readonly loads: ServerLoads;
}

/** What this node knows of engines, by their owners or else by the registry. */
export class KnownEngines {
  readonly #parts: KnownEnginesParts;

  /** @param parts What descriptions are drawn from. */
  constructor(parts: KnownEnginesParts) {
    this.#parts = parts;
  }

  /**
   * Describes an engine as places are chosen by.
   * @param now The present time.
   * @param server The engine.
   * @param use What a request needs there.
   * @returns The description, or nothing where the engine can't take it.
   */
  describe(
    now: Instant,
    server: RegisteredServer,
    use: NeededUse,
  ): KnownEngine | undefined {
    const { loads } = this.#parts;
    const load = loads.of(server);
    const reading = load.prefillTimes.estimate(use.promptTokens);
    const heard = this.#heard(now, server);
    if (heard?.digest.isFull === true) return undefined;
    if (heard === undefined) {
      const holds = holdsByRegistry(server, use);
      if (!server.models.some((held) => held.model === use.model)) {
        return undefined;
      }
      return {
        id: server.id,
        server,
        expectedWait: load.decayedLatency(now),
        prefillTime: reading,
        running: 0,
        canOrderLoads: false,
        availableSlots: 0,
        holdsAdapter: holds,
        isLoading: false,
      };
    }
    const { digest, owner, address } = heard;
    const held = digest.adapters.find((one) =>
      one.adapter === use.adapter && one.model === use.model
    );
    const isFresh = held !== undefined && held.version >= use.minimumVersion;
    return {
      id: server.id,
      server,
      owner,
      address,
      expectedWait: digest.waitMilliseconds + load.decayedLatency(now),
      prefillTime: reading,
      running: digest.running,
      canOrderLoads: digest.isReachable,
      availableSlots: digest.room,
      holdsAdapter: digest.isReachable &&
        (use.adapter === undefined || (isFresh && !held.isLoading)),
      isLoading: isFresh && held.isLoading,
    };
  }

  /** What the owner says of an engine, unless it is of an older start. */
  #heard(now: Instant, { id, start }: RegisteredServer) {
    const { knowledge, owners, self } = this.#parts;
    const own = owners.find(id);
    if (own !== undefined) {
      return { digest: own.digest, owner: self, address: "self" };
    }
    const owner = knowledge.claims.owner(id);
    if (owner === undefined) return undefined;
    const heard = knowledge.peers.engine(now, id, owner);
    if (heard === undefined) return undefined;
    const isOver = isOlderStart(readStart(heard.digest.start), start);
    return isOver ? undefined : heard;
  }
}

function holdsByRegistry(server: RegisteredServer, use: NeededUse): boolean {
  const held = server.models.find((one) => one.model === use.model);
  if (held === undefined) return false;
  if (use.adapter === undefined) return true;
  const version = held.adapters.get(use.adapter);
  return version !== undefined && version >= use.minimumVersion;
}
