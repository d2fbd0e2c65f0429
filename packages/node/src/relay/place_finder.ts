import {
  type Duration,
  type Instant,
  later,
  milliseconds,
  type RegisteredServer,
  type Route,
} from "@foxtailwind/core";
import { BoundedSignal } from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";
import type { ReadRequest } from "./read_request.ts";
import type { LimitQueuePlace } from "./request_limits.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { Place, PlaceAnswer } from "./request_placer.ts";
import type { SendRecord } from "./send_record.ts";

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
export interface PlaceTerms {
  /** When the first event is due, counted from the caller's first attempt. */
  readonly wantedBy: Instant;
  /** Returns the request's deadline; a stop of this node may shorten it. */
  readonly endsAt: () => Instant;
  /** The servers that the request was sent to before. */
  readonly sent: SendRecord;
  /** Aborted when nobody waits for the request any longer. */
  readonly over: AbortSignal;
}

/** Searches for servers that can run one request. */
export class PlaceFinder {
  readonly #parts: RelayParts;
  readonly #request: ReadRequest;
  readonly #terms: PlaceTerms;
  readonly #asked: PlaceAnswer[] = [];
  #queuePlace: LimitQueuePlace | undefined;
  #comeBackAfter: Duration | undefined;

  /**
   * @param parts The dependencies.
   * @param request The request.
   * @param terms The bounds of the search.
   */
  constructor(parts: RelayParts, request: ReadRequest, terms: PlaceTerms) {
    this.#parts = parts;
    this.#request = request;
    this.#terms = terms;
  }

  /** The first engines that were asked for a placement, with their answers. */
  get asked(): readonly PlaceAnswer[] {
    return this.#asked;
  }

  /** When a placement is expected, if the servers' limits leave none now. */
  get comeBackAfter(): Duration | undefined {
    return this.#comeBackAfter;
  }

  /**
   * Searches until a placement is found or it is too late for one.
   * @returns The placement, or `undefined`.
   */
  async find(): Promise<Place | undefined> {
    const { arrivedAt, route } = this.#request;
    const timeout = Math.min(
      this.#terms.endsAt() - arrivedAt,
      firstEventTimeout(route),
    );
    // A stream that resumes elsewhere has long used up its first waiting time.
    const startsAt = this.#terms.sent.sends === 0 ? arrivedAt : this.#now();
    const searchEnd = later(startsAt, milliseconds(timeout * SEARCH_SHARE));
    const timeLeft = Math.max(1, Math.ceil(searchEnd - this.#now()));
    const searchSignal = new BoundedSignal(this.#terms.over, timeLeft);
    try {
      for (;;) {
        const placement = await this.#tryPlace(searchSignal.signal);
        if (placement !== undefined || this.#terms.over.aborted) {
          return placement;
        }
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
    if (!limits.areReached(servers)) return false;
    const isQueued = this.#queuePlace !== undefined;
    this.#queuePlace ??= limits.queue(this.#request.service.id);
    const wait = limits.waitBehind(servers, this.#queuePlace.ahead);
    this.#comeBackAfter = wait;
    if (wait === undefined) return true;
    return !isQueued && later(this.#now(), wait) > searchEnd;
  }

  /** The servers that can run the request, preferring those not tried yet. */
  #servers(): readonly RegisteredServer[] {
    const { service } = this.#request;
    const available = this.#parts.knowledge.servers(service.id)
      .filter((one) => !one.leaving);
    const untried = available.filter((one) =>
      !this.#terms.sent.hasTried(one.id)
    );
    return untried.length > 0 ? untried : available;
  }

  async #tryPlace(signal: AbortSignal): Promise<Place | undefined> {
    const { service, caller } = this.#request;
    const { placer } = this.#parts;
    const servers = this.#servers();
    if (service.engine === undefined || caller.use === undefined) {
      return placer.placeOnServer(this.#now(), servers);
    }
    return await placer.placeOnEngine(caller.use, servers, {
      signal,
      firstEventDeadline: this.#terms.wantedBy,
      longestPause: this.#request.route.longestPause,
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
