import type { QueuedRequest } from "../serving/engine_event.ts";
import {
  type AdapterKey,
  adapterKey,
  type Duration,
  type EngineId,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";
import type { AdapterStanding, EngineView } from "./engine_view.ts";
import type { PrefixHistory } from "./prefix_history.ts";
import type { ResidenceIndex } from "./residence_index.ts";
import { textHash, weightedScore } from "./weighted_rendezvous.ts";

/** Why a request goes where it goes. */
export type RouteReason = "resident" | "joins_load" | "home" | "overflow";

/** Where a request goes, or why it is refused. */
export type RouteChoice =
  | {
    readonly kind: "engine";
    readonly engine: EngineId;
    readonly reason: RouteReason;
  }
  | { readonly kind: "refuse"; readonly retryAfter: Duration }
  | { readonly kind: "no_engine" };

/** Estimates of loads, as the holder of the load permits makes them. */
export interface LoadOutlook {
  readonly loadTime: Duration;
  expectedWait(ahead: number): Duration;
}

/** What a router decides by. */
export interface AdapterRouterParts {
  readonly index: ResidenceIndex;
  readonly prefixes: PrefixHistory;
  readonly loads: LoadOutlook;
}

interface Candidate {
  readonly view: EngineView;
  readonly standing: AdapterStanding;
  readonly expected: number;
}

/** How many homes in the order of their score an absent adapter may go to. */
const HOMES = 3;
/** A wait below this share of the slack is no reason to look elsewhere. */
const RELAXED_SHARE = 0.5;
/** What another choice must be better by. */
const MARGIN_SHARE = 0.25;
const LEAST_MARGIN = 50;
/** A cached prefix saves about this share of the time to the first token. */
const PREFIX_SAVING = 0.3;
/** A request is refused when it would come so many targets late. */
const HOPELESS_TARGETS = 1;

/**
 * Chooses an engine for each request: one that holds the adapter, or else the
 * adapter's home, or the next where the expected wait is clearly lower.
 */
export class AdapterRouter {
  readonly #parts: AdapterRouterParts;

  /** @param parts What to decide by. */
  constructor(parts: AdapterRouterParts) {
    this.#parts = parts;
  }

  /**
   * Chooses where a request goes.
   * @param now The present time.
   * @param queued The request.
   * @param views The engines that run its model.
   * @returns The engine, or a refusal.
   */
  route(
    now: Instant,
    queued: QueuedRequest,
    views: ReadonlyMap<EngineId, EngineView>,
  ): RouteChoice {
    if (views.size === 0) return { kind: "no_engine" };
    const key = adapterKey(queued.adapter);
    const slack = queued.firstTokenTarget - queued.waitedBefore;
    const held = this.#bestHolder(now, queued, views);
    if (held !== undefined && held.expected <= RELAXED_SHARE * slack) {
      return chosen(held, false);
    }
    const home = this.#bestHome(now, { queued, key, views });
    const best = better(held, home);
    if (best === undefined) return { kind: "no_engine" };
    if (this.#isHopeless(best, { slack, target: queued.firstTokenTarget })) {
      return {
        kind: "refuse",
        retryAfter: milliseconds(Math.ceil(best.expected - slack)),
      };
    }
    return chosen(best, held !== undefined);
  }

  /**
   * Lists the engines for an adapter in the order of its homes.
   * @param key The adapter.
   * @param views The engines.
   * @returns The first few engines, the home first.
   */
  homes(
    key: AdapterKey,
    views: ReadonlyMap<EngineId, EngineView>,
  ): readonly EngineView[] {
    const keyHash = textHash(key);
    const scored: { readonly view: EngineView; readonly score: number }[] = [];
    for (const view of views.values()) {
      const score = weightedScore(keyHash, view.hash, view.weight);
      if (scored.length === HOMES && score <= (scored[HOMES - 1]?.score ?? 0)) {
        continue;
      }
      scored.push({ view, score });
      scored.sort((left, right) => right.score - left.score);
      if (scored.length > HOMES) scored.pop();
    }
    return scored.map((entry) => entry.view);
  }

  #bestHolder(
    now: Instant,
    queued: QueuedRequest,
    views: ReadonlyMap<EngineId, EngineView>,
  ): Candidate | undefined {
    const key = adapterKey(queued.adapter);
    const cached = this.#engineWithPrefix(key, queued);
    let best: Candidate | undefined;
    for (const engine of this.#parts.index.enginesOf(key)) {
      const view = views.get(engine);
      if (view === undefined) continue;
      const candidate = this.#assess(now, { queued, key, view });
      const saved = cached.includes(engine)
        ? PREFIX_SAVING * view.firstTokenTime
        : 0;
      const expected = candidate.expected - saved;
      if (best === undefined || expected < best.expected) {
        best = { ...candidate, expected };
      }
    }
    return best;
  }

  #bestHome(
    now: Instant,
    { queued, key, views }: {
      readonly queued: QueuedRequest;
      readonly key: AdapterKey;
      readonly views: ReadonlyMap<EngineId, EngineView>;
    },
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const view of this.homes(key, views)) {
      const candidate = this.#assess(now, { queued, key, view });
      best = cheaper(now, best, candidate);
    }
    return best;
  }

  #assess(
    now: Instant,
    { queued, key, view }: {
      readonly queued: QueuedRequest;
      readonly key: AdapterKey;
      readonly view: EngineView;
    },
  ): Candidate {
    const standing = view.standing(key);
    const target = queued.firstTokenTarget;
    const place = view.placeWait(now, target);
    const load = this.#loadWait(standing, view, target);
    const expected = Math.max(place, load) + view.firstTokenTime;
    return { view, standing, expected };
  }

  #loadWait(
    standing: AdapterStanding,
    view: EngineView,
    target: Duration,
  ): number {
    const { loads } = this.#parts;
    switch (standing) {
      case "resident":
        return 0;
      case "loading":
        return loads.loadTime / 2;
      case "awaited":
        return loads.expectedWait(view.loadsAhead(target) / 2) + loads.loadTime;
      case "absent":
        return loads.expectedWait(view.loadsAhead(target)) + loads.loadTime +
          (view.canMakeRoom() ? 0 : view.serviceTime);
    }
  }

  #engineWithPrefix(
    key: AdapterKey,
    queued: QueuedRequest,
  ): readonly EngineId[] {
    const hash = queued.prefixHash;
    if (hash === undefined) return [];
    return this.#parts.prefixes.holdersOf({ key, hash });
  }

  #isHopeless(
    best: Candidate,
    { slack, target }: { readonly slack: number; readonly target: Duration },
  ): boolean {
    return best.expected > slack + HOPELESS_TARGETS * target;
  }
}

/** The first stays unless the second is better by the margin. */
function better(
  first: Candidate | undefined,
  second: Candidate | undefined,
): Candidate | undefined {
  if (first === undefined) return second;
  if (second === undefined) return first;
  const margin = Math.max(LEAST_MARGIN, MARGIN_SHARE * first.expected);
  return second.expected + margin < first.expected ? second : first;
}

function chosen(candidate: Candidate, hasHolder: boolean): RouteChoice {
  const { view, standing } = candidate;
  return { kind: "engine", engine: view.engine, reason: reason() };

  function reason(): RouteReason {
    if (standing === "resident") return "resident";
    if (standing !== "absent") return "joins_load";
    return hasHolder ? "overflow" : "home";
  }
}

/** Of engines that are about as fast, the one whose eviction loses least. */
function cheaper(
  now: Instant,
  first: Candidate | undefined,
  second: Candidate,
): Candidate {
  if (first === undefined) return second;
  const margin = Math.max(LEAST_MARGIN, MARGIN_SHARE * first.expected);
  const gain = first.expected - second.expected;
  if (gain > margin) return second;
  if (gain < -margin) return first;
  const firstLoss = first.view.roomLoss(now);
  const secondLoss = second.view.roomLoss(now);
  if (firstLoss === undefined || secondLoss === undefined) return first;
  return secondLoss < firstLoss ? second : first;
}
