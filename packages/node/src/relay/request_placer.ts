import {
  type BackendServerId,
  chooseQueue,
  expectedLoadTime,
  type Instant,
  milliseconds,
  type NodeId,
  type PlaceRefusal,
  rankEngines,
  type RegisteredServer,
  waitForRoom,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { AdapterGrants } from "./adapter_grants.ts";
import type { ModelUse } from "./caller_wire.ts";
import { type EngineCandidate, EngineCandidates } from "./engine_candidates.ts";
import type { EngineOwners } from "./engine_owners.ts";
import { HedgedSearch } from "./hedged_search.ts";
import type { Knowledge } from "./knowledge.ts";
import type {
  Placement,
  PlacementRound,
  PlacementSearch,
} from "./placement.ts";
import type { RequestLimits } from "./request_limits.ts";
import type { ServerLoads } from "./server_loads.ts";
import { UseAsker } from "./use_asker.ts";

/** Dependencies of `RequestPlacer`. */
export interface RequestPlacerParts {
  readonly self: NodeId;
  readonly knowledge: Knowledge;
  readonly owners: EngineOwners;
  readonly grants: AdapterGrants;
  readonly loads: ServerLoads;
  readonly limits: RequestLimits;
  readonly clock: SteadyClock;
}

/** How many engines are asked for an adapter before the search pauses. */
const MAXIMUM_ASKED = 3;
const noop = () => undefined;

/** Finds a server for each request, and has adapters loaded if needed. */
export class RequestPlacer {
  readonly #parts: RequestPlacerParts;
  readonly #candidates: EngineCandidates;
  readonly #asker: UseAsker;

  /** @param parts The dependencies. */
  constructor(parts: RequestPlacerParts) {
    this.#parts = parts;
    this.#candidates = new EngineCandidates(parts);
    this.#asker = new UseAsker(parts);
  }

  /**
   * Chooses a server of a service without engines.
   * @param now The present time.
   * @param servers The servers to choose from.
   * @returns The placement, or `undefined` if no server can take the request.
   */
  placeOnServer(
    now: Instant,
    servers: readonly RegisteredServer[],
  ): Placement | undefined {
    const { loads, limits } = this.#parts;
    const available = servers.filter((server) => this.#isAvailable(server));
    const server = loads.choose(now, available, Math.random());
    return server === undefined || !limits.tryTake(server)
      ? undefined
      : { server, release: noop, reportMiss: noop };
  }

  /**
   * Chooses an engine for a request, and waits for its adapter if needed.
   * @param use The model and adapter that the request uses.
   * @param servers The engines to choose from.
   * @param search The terms of the search.
   * @returns The placement, or `undefined` if no engine has room now.
   */
  async placeOnEngine(
    use: ModelUse,
    servers: readonly RegisteredServer[],
    search: PlacementSearch,
  ): Promise<Placement | undefined> {
    const now = this.#parts.clock.now();
    const minimumVersion = use.adapter === undefined
      ? 0
      : this.#parts.knowledge.versions.newest(use.model, use.adapter);
    const candidates = servers
      .filter((server) => !this.#parts.loads.loadOf(server).isPaused(now))
      .filter((server) => this.#isAvailable(server))
      .map((server) =>
        this.#candidates.describe(now, server, { ...use, minimumVersion })
      )
      .filter((engine) => engine !== undefined);
    const candidatesById = new Map(
      candidates.map((engine) => [engine.id, engine]),
    );
    const ranked = rankEngines(use, candidates)
      .map((id) => candidatesById.get(id))
      .filter((engine) => engine !== undefined)
      .slice(0, MAXIMUM_ASKED);
    const round = {
      use,
      minimumVersion,
      search,
      onlyInTime: search.firstEventDeadline - now >= beginsAfter(ranked),
      refusals: new Map<BackendServerId, PlaceRefusal>(),
    };
    return await this.#ask(ranked, round) ??
      await this.#joinQueue(ranked, round);
  }

  /** Asks for a place that is late, where there is one first. */
  async #joinQueue(
    ranked: readonly EngineCandidate[],
    round: PlacementRound,
  ): Promise<Placement | undefined> {
    const { search, refusals } = round;
    const { queueing, onNoRoom } = search;
    if (queueing === undefined || search.signal.aborted) return undefined;
    if (round.onlyInTime) {
      const longestWait = milliseconds(
        queueing.waitsUntil - this.#parts.clock.now(),
      );
      const queue = chooseQueue([...refusals.values()], longestWait);
      const placement = await this.#ask(
        ranked.filter(({ id }) => id === queue),
        { ...round, onlyInTime: false },
      );
      if (placement !== undefined) return placement;
    }
    const retryAfter = waitForRoom([...refusals.values()]);
    if (retryAfter !== undefined) {
      onNoRoom?.(retryAfter, refusals.size === ranked.length);
    }
    return undefined;
  }

  /** Asks the owners of engines in turn. */
  #ask(
    engines: readonly EngineCandidate[],
    round: PlacementRound,
  ): Promise<Placement | undefined> {
    return new HedgedSearch<EngineCandidate, Placement>({
      engines,
      ask: (engine, question) => this.#asker.ask(engine, round, question),
      release: (placement) => {
        placement.release();
        this.#parts.limits.refund(placement.server);
      },
      signal: round.search.signal,
    }).run();
  }

  /** Whether the limits of a server permit another request now. */
  #isAvailable(server: RegisteredServer): boolean {
    const { loads, limits } = this.#parts;
    return limits.waitTime(server) === 0 &&
      limits.hasRoom(server, loads.loadOf(server).running);
  }
}

/** Estimates when the best engine could give its first event, in milliseconds. */
function beginsAfter([best]: readonly EngineCandidate[]): number {
  if (best === undefined) return Infinity;
  const load = best.holdsAdapter ? 0 : expectedLoadTime(best.load);
  return Math.max(load, best.expectedWait) + best.prefillTime;
}
