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

/** Between two looks for a place, in milliseconds. */
const PLACE_PAUSE_MILLISECONDS = 40;
/** The share of a caller's patience in which a place is looked for. */
const PLACE_SHARE = 0.4;
/** Callers leave a stream without events after the longest of these. */
const STREAM_PATIENCE = { least: 2_000, targets: 4, pauses: 8 } as const;
/** Engines that were asked for a place, in one line of the log. */
const MOST_ASKED_LOGGED = 8;

/** What bounds the search for a place. */
export interface PlaceTerms {
  /** When the first event is wanted, earlier tries of the caller counted. */
  readonly wantedBy: Instant;
  /** Tells when the request's time is over; a stop may shorten it. */
  readonly endsAt: () => Instant;
  /** Where it was sent before. */
  readonly sent: SendRecord;
  /** Tells that nobody waits for the request any more. */
  readonly over: AbortSignal;
}

/** Looks for servers for one request. */
export class PlaceFinder {
  readonly #parts: RelayParts;
  readonly #request: ReadRequest;
  readonly #terms: PlaceTerms;
  readonly #asked: PlaceAnswer[] = [];
  #queued: LimitQueuePlace | undefined;
  #comeBackAfter: Duration | undefined;

  /**
   * @param parts What it works with.
   * @param request The request.
   * @param terms What bounds the search.
   */
  constructor(parts: RelayParts, request: ReadRequest, terms: PlaceTerms) {
    this.#parts = parts;
    this.#request = request;
    this.#terms = terms;
  }

  /** The first engines that were asked for a place, and their answers. */
  get asked(): readonly PlaceAnswer[] {
    return this.#asked;
  }

  /** When a place is likely, where servers' limits left none. */
  get comeBackAfter(): Duration | undefined {
    return this.#comeBackAfter;
  }

  /**
   * Looks for a place until there is one or it is too late for one.
   * @returns The place, or nothing.
   */
  async find(): Promise<Place | undefined> {
    const { arrivedAt, route } = this.#request;
    const patience = Math.min(
      this.#terms.endsAt() - arrivedAt,
      firstEventPatience(route),
    );
    // A stream that goes on elsewhere has used up its first patience long ago.
    const from = this.#terms.sent.sends === 0 ? arrivedAt : this.#now();
    const until = later(from, milliseconds(patience * PLACE_SHARE));
    const left = Math.max(1, Math.ceil(until - this.#now()));
    const search = new BoundedSignal(this.#terms.over, left);
    try {
      for (;;) {
        const place = await this.#look(search.signal);
        if (place !== undefined || this.#terms.over.aborted) return place;
        if (this.#now() >= until || this.#isTooFarBack(until)) return undefined;
        await sleep(PLACE_PAUSE_MILLISECONDS);
      }
    } finally {
      search.release();
      this.#queued?.leave();
      this.#queued = undefined;
    }
  }

  /**
   * Whether the servers' limits keep the request waiting for longer than it
   * can. It is then told at once when a place is likely.
   */
  #isTooFarBack(until: Instant): boolean {
    const { limits } = this.#parts;
    const servers = this.#servers();
    if (!limits.areReached(servers)) return false;
    const isQueued = this.#queued !== undefined;
    this.#queued ??= limits.queue(this.#request.service.id);
    const wait = limits.waitBehind(servers, this.#queued.ahead);
    this.#comeBackAfter = wait;
    if (wait === undefined) return true;
    return !isQueued && later(this.#now(), wait) > until;
  }

  /** The servers that could run the request, those it was not sent to first. */
  #servers(): readonly RegisteredServer[] {
    const { service } = this.#request;
    const there = this.#parts.knowledge.servers(service.id)
      .filter((one) => !one.leaving);
    const untried = there.filter((one) => !this.#terms.sent.hasTried(one.id));
    return untried.length > 0 ? untried : there;
  }

  async #look(signal: AbortSignal): Promise<Place | undefined> {
    const { service, caller } = this.#request;
    const { placer } = this.#parts;
    const servers = this.#servers();
    if (service.engine === undefined || caller.use === undefined) {
      return placer.choosePlain(this.#now(), servers);
    }
    return await placer.placeOnEngine(caller.use, servers, {
      signal,
      wantedBy: this.#terms.wantedBy,
      longestPause: this.#request.route.longestPause,
      note: (answer) => {
        if (this.#asked.length < MOST_ASKED_LOGGED) this.#asked.push(answer);
      },
    });
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}

/** How long callers of a route wait for a first event. */
function firstEventPatience(route: Route): number {
  if (!route.streams) return route.timeLimit;
  const { least, targets, pauses } = STREAM_PATIENCE;
  return Math.max(
    least,
    targets * route.target,
    pauses * (route.longestPause ?? 0),
  );
}
