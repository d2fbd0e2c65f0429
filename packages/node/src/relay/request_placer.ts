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
import { BoundedSignal } from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type {
  AdapterGrants,
  GrantAddress,
  GrantAnswer,
} from "./adapter_grants.ts";
import type { ModelUse } from "./caller_wire.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { Knowledge } from "./knowledge.ts";
import { type KnownEngine, KnownEngines } from "./known_engines.ts";
import type { RequestLimits } from "./request_limits.ts";
import type { ServerLoads } from "./server_loads.ts";

/** Where a request goes, and what to do once it has ended there. */
export interface Place {
  readonly server: RegisteredServer;
  /** The version that must serve it, where known. */
  readonly adapterVersion?: number;
  readonly release: () => void;
  /** Called where the server lacked what the request needs. */
  readonly missed: () => void;
}

/** An engine that was asked for a place, and what came of it. */
export interface PlaceAnswer {
  readonly engine: BackendServerId;
  /** The owner that was asked; left out where none could be. */
  readonly owner?: NodeId;
  readonly answer: GrantAnswer["kind"] | "no_owner";
}

/** How a place is looked for. */
export interface PlaceSearch {
  /** When the first event is wanted. */
  readonly wantedBy: Instant;
  /** The longest pause between two events that is not late, where there is one. */
  readonly longestPause: Duration | undefined;
  /** Ends the search. */
  readonly signal: AbortSignal;
  /** Takes note of what came of each engine that was asked. */
  readonly note: (answer: PlaceAnswer) => void;
}

/** What a placer works with. */
export interface RequestPlacerParts {
  readonly self: NodeId;
  readonly knowledge: Knowledge;
  readonly owners: EngineOwners;
  readonly grants: AdapterGrants;
  readonly loads: ServerLoads;
  readonly limits: RequestLimits;
  readonly clock: SteadyClock;
}

/** How many engines are asked for an adapter before the placer waits. */
const MOST_ASKED = 3;
/** How long an owner is waited for where the engine holds the adapter. */
const HELD_ANSWER_MILLISECONDS = 250;
/** How long an owner may take to bring an adapter before another is asked. */
const LOAD_ANSWER_MILLISECONDS = 1_000;

type Grant = Extract<GrantAnswer, { readonly kind: "granted" }>;

const nothing = () => undefined;

/** Finds a server for each request, and brings adapters where needed. */
export class RequestPlacer {
  readonly #parts: RequestPlacerParts;
  readonly #engines: KnownEngines;
  readonly #refusals = new RecentRefusals();

  /** @param parts What it works with. */
  constructor(parts: RequestPlacerParts) {
    this.#parts = parts;
    this.#engines = new KnownEngines(parts);
  }

  /**
   * Chooses a server of a plain service.
   * @param now The present time.
   * @param servers The servers that may be chosen.
   * @returns The place, or nothing where there is no server.
   */
  choosePlain(
    now: Instant,
    servers: readonly RegisteredServer[],
  ): Place | undefined {
    const { loads, limits } = this.#parts;
    const open = servers.filter((server) => limits.wait(server) === 0);
    const server = loads.choose(now, open, Math.random());
    return server === undefined || !limits.take(server)
      ? undefined
      : { server, release: nothing, missed: nothing };
  }

  /**
   * Finds an engine for a request, and waits for its adapter where needed.
   * @param use What the request runs on.
   * @param servers The engines that may be chosen.
   * @param search How it is looked for.
   * @returns The place, or nothing where no engine can take it now.
   */
  async placeOnEngine(
    use: ModelUse,
    servers: readonly RegisteredServer[],
    search: PlaceSearch,
  ): Promise<Place | undefined> {
    const now = this.#parts.clock.now();
    const minimumVersion = use.adapter === undefined
      ? 0
      : this.#parts.knowledge.versions.newest(use.model, use.adapter);
    const engines = servers
      .filter((server) => !this.#parts.loads.of(server).isPaused(now))
      .filter((server) => this.#parts.limits.wait(server) === 0)
      .map((server) =>
        this.#engines.describe(now, server, { ...use, minimumVersion })
      )
      .filter((engine) => engine !== undefined);
    const byId = new Map(engines.map((engine) => [engine.id, engine]));
    for (const id of rankEngines(use, engines).slice(0, MOST_ASKED)) {
      const engine = byId.get(id);
      if (engine === undefined || search.signal.aborted) break;
      const { server } = engine;
      if (!this.#isOpen(server)) continue;
      if (!this.#mayTake(engine) || !this.#parts.limits.take(server)) continue;
      const place = await this.#ask(engine, use, minimumVersion, search);
      if (place !== undefined) return place;
      this.#parts.limits.giveBack(server);
    }
    return undefined;
  }

  /** Whether a question to an engine may be answered by a place. */
  #mayTake({ id, holdsAdapter: holds, isLoading }: KnownEngine): boolean {
    const now = this.#parts.clock.now();
    return holds || isLoading || !this.#refusals.isLikelyFull(now, id);
  }

  async #ask(
    engine: KnownEngine,
    use: ModelUse,
    minimumVersion: number,
    { signal, note, wantedBy, longestPause }: PlaceSearch,
  ): Promise<Place | undefined> {
    const { server, owner, address } = engine;
    if (owner === undefined || address === undefined) {
      note({ engine: engine.id, answer: "no_owner" });
      return engine.holdsAdapter
        ? { server, release: nothing, missed: nothing }
        : undefined;
    }
    const answerTime = engine.holdsAdapter
      ? HELD_ANSWER_MILLISECONDS
      : LOAD_ANSWER_MILLISECONDS;
    const patience = Math.ceil(engine.expectedWait + answerTime);
    const where = { engine: engine.id, owner, address };
    if (owner !== this.#parts.self) {
      this.#parts.knowledge.work.count("use_asked");
    }
    const asking = new BoundedSignal(signal, patience);
    const answer = await this.#parts.grants.ask(
      where,
      {
        model: use.model,
        ...(use.adapter === undefined ? {} : { adapter: use.adapter }),
        minimumVersion,
        reading: engine.prefillTime,
        timeLeft: milliseconds(wantedBy - this.#parts.clock.now()),
        needsBreak: longestPause !== undefined &&
          needsBreaks(
            this.#parts.loads.of(server).prefillTimes.tokenTime,
            longestPause,
          ),
      },
      asking.signal,
    );
    asking.release();
    note({ engine: engine.id, owner, answer: answer.kind });
    if (answer.kind === "no_room") {
      this.#refusals.recordRefusal(this.#parts.clock.now(), engine.id);
    }
    const isOpen = this.#isOpen(server);
    if (answer.kind === "granted") {
      const { version, release } = answer;
      if (!isOpen || this.#isOver(where, answer)) {
        release();
        return undefined;
      }
      return {
        server,
        ...(version === 0 ? {} : { adapterVersion: version }),
        release,
        missed: () => {
          this.#parts.grants.missed(where);
        },
      };
    }
    const isHeldWithoutOwner = engine.holdsAdapter && answer.kind !== "no_room";
    return isHeldWithoutOwner && isOpen && !signal.aborted
      ? { server, release: nothing, missed: nothing }
      : undefined;
  }

  /** Whether an engine takes requests: it may leave while owners are asked. */
  #isOpen({ id }: RegisteredServer): boolean {
    return this.#parts.knowledge.registry.find(id)?.leaving === false;
  }

  /** Whether a use was granted at a start that is over by now. */
  #isOver(where: GrantAddress, { start, over }: Grant): boolean {
    if (over.aborted) return true;
    // This node's own owner knows all that the registry told this node.
    if (where.owner === this.#parts.self) return false;
    const known = this.#parts.knowledge.registry.find(where.engine);
    return isOlderStart(start, known?.start);
  }
}
