import {
  type BackendServerId,
  type Duration,
  type Instant,
  isOlderStart,
  milliseconds,
  needsBreaks,
  type NodeId,
  rankEngines,
  RecentRefusals,
  type RegisteredServer,
} from "@foxtailwind/core";
import { TimeLimitedSignal } from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type {
  AdapterGrants,
  EngineOwnerAddress,
  GrantAnswer,
} from "./adapter_grants.ts";
import type { ModelUse } from "./caller_wire.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { Knowledge } from "./knowledge.ts";
import { type EngineCandidate, EngineCandidates } from "./engine_candidates.ts";
import type { RequestLimits } from "./request_limits.ts";
import type { ServerLoads } from "./server_loads.ts";

/** The server chosen for a request, with the callbacks for its end. */
export interface Placement {
  readonly server: RegisteredServer;
  /** The adapter version that must serve the request, if known. */
  readonly adapterVersion?: number;
  /** Ends the use, if one was granted. */
  readonly release: () => void;
  /** Called if the server lacked the model or adapter of the request. */
  readonly reportMiss: () => void;
}

/** An engine that was asked for a placement, and its answer. */
export interface PlacementAnswer {
  readonly engine: BackendServerId;
  /** The owner that was asked; `undefined` if none is known. */
  readonly owner?: NodeId;
  readonly answer: GrantAnswer["kind"] | "no_owner";
}

/** The terms of the search for a placement. */
export interface PlacementSearch {
  /** When the first event is due. */
  readonly firstEventDeadline: Instant;
  /** The longest pause between two events that isn't late, if limited. */
  readonly longestPause: Duration | undefined;
  /** Cancels the search. */
  readonly signal: AbortSignal;
  /** Called with the answer of each engine that was asked. */
  readonly onAnswer: (answer: PlacementAnswer) => void;
}

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
/** The timeout of an owner's answer if the engine holds the adapter. */
const HELD_ADAPTER_TIMEOUT_MILLISECONDS = 250;
/** The timeout of an owner's answer, with a load, before another is asked. */
const ADAPTER_LOAD_TIMEOUT_MILLISECONDS = 1_000;

type Grant = Extract<GrantAnswer, { readonly kind: "granted" }>;

const noop = () => undefined;

/** Finds a server for each request, and has adapters loaded if needed. */
export class RequestPlacer {
  readonly #parts: RequestPlacerParts;
  readonly #candidates: EngineCandidates;
  readonly #refusals = new RecentRefusals();

  /** @param parts The dependencies. */
  constructor(parts: RequestPlacerParts) {
    this.#parts = parts;
    this.#candidates = new EngineCandidates(parts);
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
    for (const id of rankEngines(use, candidates).slice(0, MAXIMUM_ASKED)) {
      const engine = candidatesById.get(id);
      if (engine === undefined || search.signal.aborted) break;
      const { server } = engine;
      if (!this.#takesRequests(server)) continue;
      if (!this.#hasRoom(engine) || !this.#parts.limits.tryTake(server)) {
        continue;
      }
      const placement = await this.#requestUse(
        engine,
        use,
        minimumVersion,
        search,
      );
      if (placement !== undefined) return placement;
      this.#parts.limits.refund(server);
    }
    return undefined;
  }

  /** Whether the limits of a server permit another request now. */
  #isAvailable(server: RegisteredServer): boolean {
    const { loads, limits } = this.#parts;
    return limits.waitTime(server) === 0 &&
      limits.hasRoom(server, loads.loadOf(server).running);
  }

  /** Whether an engine probably has room for the request. */
  #hasRoom({ id, holdsAdapter, isLoading }: EngineCandidate): boolean {
    const now = this.#parts.clock.now();
    return holdsAdapter || isLoading || !this.#refusals.isLikelyFull(now, id);
  }

  async #requestUse(
    engine: EngineCandidate,
    use: ModelUse,
    minimumVersion: number,
    { signal, onAnswer, firstEventDeadline, longestPause }: PlacementSearch,
  ): Promise<Placement | undefined> {
    const { server, owner, address } = engine;
    if (owner === undefined || address === undefined) {
      onAnswer({ engine: engine.id, answer: "no_owner" });
      return engine.holdsAdapter
        ? { server, release: noop, reportMiss: noop }
        : undefined;
    }
    const answerTimeout = engine.holdsAdapter
      ? HELD_ADAPTER_TIMEOUT_MILLISECONDS
      : ADAPTER_LOAD_TIMEOUT_MILLISECONDS;
    const timeout = Math.ceil(engine.expectedWait + answerTimeout);
    const target = { engine: engine.id, owner, address };
    if (owner !== this.#parts.self) {
      this.#parts.knowledge.workCounts.increment("use_asked");
    }
    const answerSignal = new TimeLimitedSignal(signal, timeout);
    const answer = await this.#parts.grants.requestUse(
      target,
      {
        model: use.model,
        ...(use.adapter === undefined ? {} : { adapter: use.adapter }),
        minimumVersion,
        prefillTime: engine.prefillTime,
        timeLeft: milliseconds(firstEventDeadline - this.#parts.clock.now()),
        needsBreak: longestPause !== undefined &&
          needsBreaks(
            this.#parts.loads.loadOf(server).prefillTimes.tokenTime,
            longestPause,
          ),
      },
      answerSignal.signal,
    );
    answerSignal.release();
    onAnswer({ engine: engine.id, owner, answer: answer.kind });
    if (answer.kind === "no_room") {
      this.#refusals.recordRefusal(this.#parts.clock.now(), engine.id);
    }
    const takesRequests = this.#takesRequests(server) &&
      this.#parts.limits.backoff(server) === 0;
    if (answer.kind === "granted") {
      const { version, release } = answer;
      if (!takesRequests || this.#hasEnded(target, answer)) {
        release();
        return undefined;
      }
      return {
        server,
        ...(version === 0 ? {} : { adapterVersion: version }),
        release,
        reportMiss: () => {
          this.#parts.grants.reportMiss(target);
        },
      };
    }
    const runsWithoutGrant = engine.holdsAdapter && answer.kind !== "no_room";
    return runsWithoutGrant && takesRequests && !signal.aborted
      ? { server, release: noop, reportMiss: noop }
      : undefined;
  }

  /** Whether an engine takes requests; it may leave while owners are asked. */
  #takesRequests(server: RegisteredServer): boolean {
    return this.#parts.knowledge.departures.takesRequests(server);
  }

  /** Whether a use was granted for a start that has ended. */
  #hasEnded(target: EngineOwnerAddress, { start, endSignal }: Grant): boolean {
    if (endSignal.aborted) return true;
    // An owner on this node knows everything that this node's registry knows.
    if (target.owner === this.#parts.self) return false;
    const known = this.#parts.knowledge.registry.find(target.engine);
    return isOlderStart(start, known?.start);
  }
}
