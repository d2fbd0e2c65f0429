import {
  AdmissionQueue,
  type AdmissionTerms,
  type Instant,
  latestStart,
} from "@foxtailwind/core";

/** A request in an emulation of one engine's places. */
export interface EmulatedUse {
  readonly terms: AdmissionTerms;
  readonly arrivedAt: Instant;
  /** How long it runs. */
  readonly runMilliseconds: number;
}

/** The places of the emulated engine. */
export interface EmulatedPlaces {
  readonly total: number;
  readonly free: number;
}

/** A way of choosing the request that gets the next place. */
export abstract class AdmissionWay {
  /**
   * Adds a request.
   * @param now The present time.
   * @param use The request.
   */
  abstract add(now: Instant, use: EmulatedUse): void;

  /**
   * Takes the next request.
   * @param now The present time.
   * @param places The engine's places.
   * @returns The request, or `undefined` if none gets a place now.
   */
  abstract take(now: Instant, places: EmulatedPlaces): EmulatedUse | undefined;

  /**
   * Removes the requests whose callers have given up.
   * @param now The present time.
   */
  abstract expire(now: Instant): void;
}

/** Gives places by the lowest rank among all that wait. */
abstract class RankedWay extends AdmissionWay {
  #waiting: EmulatedUse[] = [];

  override add(_now: Instant, use: EmulatedUse): void {
    this.#waiting.push(use);
  }

  override take(
    now: Instant,
    places: EmulatedPlaces,
  ): EmulatedUse | undefined {
    const use = this.#waiting
      .filter((one) => this.mayTake(one, places))
      .toSorted((left, right) => this.rank(now, left) - this.rank(now, right))
      .at(0);
    this.#waiting = this.#waiting.filter((one) => one !== use);
    return use;
  }

  override expire(now: Instant): void {
    this.#waiting = this.#waiting.filter(({ terms }) =>
      (terms.waitsUntil ?? Infinity) > now
    );
  }

  protected abstract rank(now: Instant, use: EmulatedUse): number;

  protected mayTake(_use: EmulatedUse, places: EmulatedPlaces): boolean {
    return places.free > 0;
  }
}

/** In order of arrival. */
export class ArrivalWay extends RankedWay {
  protected override rank(_now: Instant, use: EmulatedUse): number {
    return use.arrivedAt;
  }
}

/** By earliest deadline; late ones last. */
export class DeadlineWay extends RankedWay {
  protected override rank(now: Instant, { terms }: EmulatedUse): number {
    const start = latestStart(terms);
    return start < now ? Number.MAX_VALUE : start;
  }
}

/** By earliest deadline, with a share of places kept for the urgent class. */
export class ReservedWay extends DeadlineWay {
  static readonly RESERVED_SHARE = 0.2;

  protected override mayTake(
    { terms }: EmulatedUse,
    { total, free }: EmulatedPlaces,
  ): boolean {
    const reserved = terms.priority === 0
      ? 0
      : ReservedWay.RESERVED_SHARE * total;
    return free > reserved;
  }
}

/** As an engine's owner does. */
export class FairWay extends AdmissionWay {
  readonly #queue = new AdmissionQueue<EmulatedUse>();

  override add(now: Instant, use: EmulatedUse): void {
    this.#queue.recordAsked(now, use.terms.priority);
    this.#queue.add(use, use.terms);
  }

  override take(
    now: Instant,
    places: EmulatedPlaces,
  ): EmulatedUse | undefined {
    return this.#queue.next(now, places);
  }

  override expire(now: Instant): void {
    this.#queue.takeExpired(now);
  }
}
