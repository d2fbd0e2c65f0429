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
import { hashText, weightedScore } from "./weighted_rendezvous.ts";

/** Why an engine was chosen for a request. */
export type RouteReason = "resident" | "joins_load" | "home" | "overflow";

/** The chosen engine, or why the request is refused. */
export type RouteChoice =
  | {
    readonly kind: "engine";
    readonly engine: EngineId;
    readonly reason: RouteReason;
  }
  | { readonly kind: "refuse"; readonly retryAfter: Duration }
  | { readonly kind: "no_engine" };

/** Estimates of load durations and of the wait for a load permit. */
export interface LoadEstimates {
  readonly loadTime: Duration;
  expectedWait(ahead: number): Duration;
}

/** Options of an {@link AdapterRouter}. */
export interface AdapterRouterOptions {
  readonly index: ResidenceIndex;
  readonly prefixes: PrefixHistory;
  readonly loads: LoadEstimates;
}

interface Candidate {
  readonly view: EngineView;
  readonly standing: AdapterStanding;
  readonly expectedFirstTokenTime: number;
}

/** Number of top-ranked engines that are considered for an adapter. */
const HOME_COUNT = 3;
/** A wait below this fraction of the slack is accepted without alternatives. */
const ACCEPTABLE_WAIT_SHARE = 0.5;
/** Fraction by which an alternative must be better to be preferred. */
const IMPROVEMENT_MARGIN_SHARE = 0.25;
const MINIMUM_MARGIN_MILLISECONDS = 50;
/** Approximate fraction of the first-token time that a cached prefix saves. */
const PREFIX_SAVING_SHARE = 0.3;
/** Lateness, as a multiple of the target, above which requests are refused. */
const MAXIMUM_LATENESS_TARGETS = 1;

/**
 * Chooses an engine for each request: one that holds the adapter, or else the
 * adapter's home by rendezvous hashing, or one of the next homes if its
 * expected wait is clearly lower.
 */
export class AdapterRouter {
  readonly #options: AdapterRouterOptions;

  /** @param options The indexes and estimates to decide from. */
  constructor(options: AdapterRouterOptions) {
    this.#options = options;
  }

  /**
   * Chooses an engine for a request.
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
    const holder = this.#bestHolder(now, queued, views);
    if (
      holder !== undefined &&
      holder.expectedFirstTokenTime <= ACCEPTABLE_WAIT_SHARE * slack
    ) {
      return routeTo(holder, false);
    }
    const home = this.#bestHome(now, { queued, key, views });
    const best = preferWithMargin(holder, home);
    if (best === undefined) return { kind: "no_engine" };
    if (this.#isTooLate(best, { slack, target: queued.firstTokenTarget })) {
      return {
        kind: "refuse",
        retryAfter: milliseconds(
          Math.ceil(best.expectedFirstTokenTime - slack),
        ),
      };
    }
    return routeTo(best, holder !== undefined);
  }

  /**
   * Ranks the engines for an adapter by rendezvous hashing.
   * @param key The adapter.
   * @param views The engines.
   * @returns The top-ranked engines, the home first.
   */
  homes(
    key: AdapterKey,
    views: ReadonlyMap<EngineId, EngineView>,
  ): readonly EngineView[] {
    const keyHash = hashText(key);
    const scored: { readonly view: EngineView; readonly score: number }[] = [];
    for (const view of views.values()) {
      const score = weightedScore(keyHash, view.hash, view.weight);
      if (
        scored.length === HOME_COUNT &&
        score <= (scored[HOME_COUNT - 1]?.score ?? 0)
      ) {
        continue;
      }
      scored.push({ view, score });
      scored.sort((left, right) => right.score - left.score);
      if (scored.length > HOME_COUNT) scored.pop();
    }
    return scored.map((entry) => entry.view);
  }

  #bestHolder(
    now: Instant,
    queued: QueuedRequest,
    views: ReadonlyMap<EngineId, EngineView>,
  ): Candidate | undefined {
    const key = adapterKey(queued.adapter);
    const prefixHolders = this.#enginesWithPrefix(key, queued);
    let best: Candidate | undefined;
    for (const engine of this.#options.index.enginesOf(key)) {
      const view = views.get(engine);
      if (view === undefined) continue;
      const candidate = this.#assess(now, { queued, key, view });
      const prefixSaving = prefixHolders.includes(engine)
        ? PREFIX_SAVING_SHARE * view.firstTokenTime
        : 0;
      const expectedFirstTokenTime = candidate.expectedFirstTokenTime -
        prefixSaving;
      if (
        best === undefined ||
        expectedFirstTokenTime < best.expectedFirstTokenTime
      ) {
        best = { ...candidate, expectedFirstTokenTime };
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
      best = preferCheaperEviction(now, best, candidate);
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
    const batchWait = view.batchWait(now, target);
    const loadWait = this.#loadWait(standing, view, target);
    const expectedFirstTokenTime = Math.max(batchWait, loadWait) +
      view.firstTokenTime;
    return { view, standing, expectedFirstTokenTime };
  }

  #loadWait(
    standing: AdapterStanding,
    view: EngineView,
    target: Duration,
  ): number {
    const { loads } = this.#options;
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

  #enginesWithPrefix(
    key: AdapterKey,
    queued: QueuedRequest,
  ): readonly EngineId[] {
    const hash = queued.prefixHash;
    if (hash === undefined) return [];
    return this.#options.prefixes.holdersOf({ key, hash });
  }

  #isTooLate(
    best: Candidate,
    { slack, target }: { readonly slack: number; readonly target: Duration },
  ): boolean {
    return best.expectedFirstTokenTime >
      slack + MAXIMUM_LATENESS_TARGETS * target;
  }
}

/** Prefers the first candidate unless the second is better by the margin. */
function preferWithMargin(
  first: Candidate | undefined,
  second: Candidate | undefined,
): Candidate | undefined {
  if (first === undefined) return second;
  if (second === undefined) return first;
  const margin = Math.max(
    MINIMUM_MARGIN_MILLISECONDS,
    IMPROVEMENT_MARGIN_SHARE * first.expectedFirstTokenTime,
  );
  return second.expectedFirstTokenTime + margin < first.expectedFirstTokenTime
    ? second
    : first;
}

function routeTo(candidate: Candidate, hasHolder: boolean): RouteChoice {
  const { view, standing } = candidate;
  return { kind: "engine", engine: view.engine, reason: reason() };

  function reason(): RouteReason {
    if (standing === "resident") return "resident";
    if (standing !== "absent") return "joins_load";
    return hasHolder ? "overflow" : "home";
  }
}

/** Among engines of similar wait, prefers the cheapest eviction. */
function preferCheaperEviction(
  now: Instant,
  first: Candidate | undefined,
  second: Candidate,
): Candidate {
  if (first === undefined) return second;
  const margin = Math.max(
    MINIMUM_MARGIN_MILLISECONDS,
    IMPROVEMENT_MARGIN_SHARE * first.expectedFirstTokenTime,
  );
  const gain = first.expectedFirstTokenTime - second.expectedFirstTokenTime;
  if (gain > margin) return second;
  if (gain < -margin) return first;
  const firstEvictionCost = first.view.evictionCost(now);
  const secondEvictionCost = second.view.evictionCost(now);
  if (firstEvictionCost === undefined || secondEvictionCost === undefined) {
    return first;
  }
  return secondEvictionCost < firstEvictionCost ? second : first;
}
