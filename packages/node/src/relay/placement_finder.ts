import {
  type Duration,
  type Instant,
  later,
  mayContinue,
  milliseconds,
  type RegisteredServer,
  type Route,
  spreadRetry,
} from "@foxtailwind/core";
import { TimeLimitedSignal } from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";
import { requestPriority, type RoutedRequest } from "./routed_request.ts";
import type { LimitQueuePlace } from "./request_limits.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { Placement, PlacementAnswer } from "./placement.ts";
import type { SendHistory } from "./send_history.ts";

/** The delay between two attempts to find a placement. */
const RETRY_DELAY_MILLISECONDS = 40;
/** The share of the caller's waiting time spent on the search. */
const SEARCH_SHARE = 0.4;
/**
 * Callers give up a stream without events after the longest of these: a number
 * of milliseconds, of target latencies or of longest pauses.
 */
const STREAM_TIMEOUT = { minimum: 2_000, targets: 4, pauses: 8 } as const;
/** The maximum number of asked engines in one line of the log. */
const MAXIMUM_LOGGED_ANSWERS = 8;

/** The bounds of the search for a placement. */
export interface PlacementTerms {
  /** When the first event is due, counted from the caller's first attempt. */
  readonly firstEventDeadline: Instant;
  /** Returns the request's deadline; a stop of this node may shorten it. */
  readonly deadline: () => Instant;
  /** The servers that the request was sent to before. */
  readonly sendRecord: SendHistory;
  /** Aborted when nobody waits for the request any longer. */
  readonly abandonSignal: AbortSignal;
}

/** Searches for servers that can run one request. */
export class PlacementFinder {
  readonly #parts: RelayParts;
  readonly #request: RoutedRequest;
  readonly #terms: PlacementTerms;
  readonly #asked: PlacementAnswer[] = [];
  #queuePlace: LimitQueuePlace | undefined;
  #comeBackAfter: Duration | undefined;
  /** When an engine would have room, if one has said so. */
  #roomAfter: Duration | undefined;
  /** Whether no engine has room before the search ends. */
  #isRefused = false;

  /**
   * @param parts The dependencies.
   * @param request The request.
   * @param terms The bounds of the search.
   */
  constructor(
    parts: RelayParts,
    request: RoutedRequest,
    terms: PlacementTerms,
  ) {
    this.#parts = parts;
    this.#request = request;
    this.#terms = terms;
  }

  /** The first engines that were asked for a placement, with their answers. */
  get askedEngines(): readonly PlacementAnswer[] {
    return this.#asked;
  }

  /** When a placement is expected, if limits or full engines leave none now. */
  get retryAfter(): Duration | undefined {
    return this.#comeBackAfter ?? this.#roomAfter;
  }

  /**
   * Searches until a placement is found or it is too late for one.
   * @returns The placement, or `undefined`.
   */
  async find(): Promise<Placement | undefined> {
    const { arrivedAt, route } = this.#request;
    const timeout = Math.min(
      this.#terms.deadline() - arrivedAt,
      firstEventTimeout(route),
    );
    // A stream that resumes elsewhere has long used up its first waiting time.
    const startsAt = this.#terms.sendRecord.sends === 0
      ? arrivedAt
      : this.#now();
    const searchEnd = later(startsAt, milliseconds(timeout * SEARCH_SHARE));
    const timeLeft = Math.max(1, Math.ceil(searchEnd - this.#now()));
    const searchSignal = new TimeLimitedSignal(
      this.#terms.abandonSignal,
      timeLeft,
    );
    try {
      for (;;) {
        const placement = await this.#tryPlace(searchSignal.signal, searchEnd);
        if (placement !== undefined || this.#terms.abandonSignal.aborted) {
          return placement;
        }
        if (!this.isContinuable || this.#isRefused) return undefined;
        if (this.#now() >= searchEnd || this.#exceedsQueueWait(searchEnd)) {
          return undefined;
        }
        await sleep(RETRY_DELAY_MILLISECONDS);
      }
    } finally {
      searchSignal.release();
      this.#queuePlace?.leave();
      this.#queuePlace = undefined;
    }
  }

  /**
   * Whether the servers' limits make the request wait for longer than it can.
   * The caller is then told at once when a placement is expected.
   */
  #exceedsQueueWait(searchEnd: Instant): boolean {
    const { limits } = this.#parts;
    const servers = this.#servers();
    if (!limits.areAllReached(servers)) return false;
    const isQueued = this.#queuePlace !== undefined;
    this.#queuePlace ??= limits.enqueue(this.#request.service.id);
    const wait = limits.estimateQueueWait(servers, this.#queuePlace.ahead);
    this.#comeBackAfter = wait;
    if (wait === undefined) return true;
    return !isQueued && later(this.#now(), wait) > searchEnd;
  }

  /**
   * Whether a server can run the request. None can if it resumes a stream whose
   * software only servers ran that are gone, while others of the service serve.
   */
  get isContinuable(): boolean {
    if (this.#terms.sendRecord.origin === undefined) return true;
    const available = this.#availableServers();
    return available.length === 0 ||
      available.some((server) => this.#mayContinueAt(server));
  }

  /** The servers that can run the request, preferring those not tried yet. */
  #servers(): readonly RegisteredServer[] {
    const available = this.#availableServers()
      .filter((server) => this.#mayContinueAt(server));
    const untried = available.filter((one) =>
      !this.#terms.sendRecord.hasTried(one.id)
    );
    return untried.length > 0 ? untried : available;
  }

  #availableServers(): readonly RegisteredServer[] {
    const { knowledge } = this.#parts;
    return knowledge.servers(this.#request.service.id)
      .filter((server) => knowledge.departures.takesRequests(server));
  }

  /** Whether a stream may begin at a server, or continue if it has begun. */
  #mayContinueAt(server: RegisteredServer): boolean {
    const { origin } = this.#terms.sendRecord;
    const { knowledge, streamRecorder } = this.#parts;
    const { route } = this.#request;
    if (origin === undefined) {
      return !route.resumable || streamRecorder.mayBegin(route, server);
    }
    return mayContinue(origin, server) &&
      !knowledge.softwareHistory.isUncertain(origin);
  }

  async #tryPlace(
    signal: AbortSignal,
    searchEnd: Instant,
  ): Promise<Placement | undefined> {
    const { service, caller, account } = this.#request;
    this.#roomAfter = undefined;
    this.#isRefused = false;
    const { placer } = this.#parts;
    const servers = this.#servers();
    if (service.engine === undefined || caller.use === undefined) {
      return placer.placeOnServer(this.#now(), servers);
    }
    return await placer.placeOnEngine(caller.use, servers, {
      signal,
      firstEventDeadline: this.#terms.firstEventDeadline,
      longestPause: this.#request.route.longestPause,
      needsKnownSoftware: this.#request.route.resumable,
      queueing: {
        priority: requestPriority(this.#request),
        account: account?.id,
        waitsUntil: searchEnd,
      },
      onNoRoom: (retryAfter, isCertain) => {
        this.#roomAfter = spreadRetry(retryAfter, Math.random());
        this.#isRefused = isCertain;
      },
      onAnswer: (answer) => {
        if (this.#asked.length < MAXIMUM_LOGGED_ANSWERS) {
          this.#asked.push(answer);
        }
      },
    });
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}

/** Returns how long callers of a route wait for the first event. */
function firstEventTimeout(route: Route): number {
  if (!route.streams) return route.timeLimit;
  const { minimum, targets, pauses } = STREAM_TIMEOUT;
  return Math.max(
    minimum,
    targets * route.target,
    pauses * (route.longestPause ?? 0),
  );
}
