import {
  adapterId,
  type AdapterReference,
  adapterVersion,
  type Instant,
  instant,
  requestId,
  tenantId,
} from "@foxtailwind/core";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { ZipfSampler } from "../../load/zipf.ts";
import type { ClassProfile, WorkloadRequest } from "./workload.ts";

const TENANTS = 60;
const PREFIXES_AN_ADAPTER = 3;
const MILLISECONDS_PER_SECOND = 1_000;
const SHUFFLE_SEED_OFFSET = 7_919;

/** A stretch of time with a steady mix of arrivals. */
export interface ArrivalPhase {
  readonly from: Instant;
  readonly until: Instant;
  readonly requestsPerSecond: number;
  /** Each class with its share of the arrivals. */
  readonly mix: readonly (readonly [ClassProfile, share: number])[];
}

/** Draws requests whose adapters' popularity follows Zipf's law. */
export class RequestGenerator {
  readonly #random: RandomGenerator;
  readonly #zipf: ZipfSampler;
  /** Which adapter holds each rank of popularity. */
  readonly #ranking: number[];
  readonly #requests: WorkloadRequest[] = [];

  /**
   * @param seed The seed.
   * @param popularity How many adapters there are, and how skewed they are.
   */
  constructor(
    seed: number,
    popularity: { readonly adapters: number; readonly exponent: number },
  ) {
    this.#random = xoroshiro128plus(seed + SHUFFLE_SEED_OFFSET);
    this.#zipf = new ZipfSampler(popularity.adapters, popularity.exponent);
    this.#ranking = Array.from(
      { length: popularity.adapters },
      (_, rank) => rank,
    );
  }

  /** The requests drawn so far, in the order of arrival. */
  get requests(): readonly WorkloadRequest[] {
    return [...this.#requests].sort((left, right) =>
      left.arrival - right.arrival
    );
  }

  /**
   * Gives the most popular ranks to adapters of the tail.
   * @param count How many.
   */
  shiftPopularity(count: number): void {
    const tail = this.#ranking.length - count;
    for (let rank = 0; rank < count; rank += 1) {
      const other = count + Math.floor(this.#uniform() * tail);
      const hot = this.#ranking[rank] ?? 0;
      this.#ranking[rank] = this.#ranking[other] ?? 0;
      this.#ranking[other] = hot;
    }
  }

  /**
   * Draws Poisson arrivals.
   * @param phase When, how many and of what.
   */
  arrive(phase: ArrivalPhase): void {
    let at = phase.from + this.#gap(phase);
    while (at < phase.until) {
      this.#draw(instant(at), this.#chooseClass(phase));
      at += this.#gap(phase);
    }
  }

  #gap(phase: ArrivalPhase): number {
    const meanGap = MILLISECONDS_PER_SECOND / phase.requestsPerSecond;
    return -Math.log(1 - this.#uniform()) * meanGap;
  }

  #chooseClass(phase: ArrivalPhase): ClassProfile {
    let left = this.#uniform();
    for (const [profile, share] of phase.mix) {
      left -= share;
      if (left < 0) return profile;
    }
    return phase.mix[0]?.[0] as ClassProfile;
  }

  #draw(arrival: Instant, profile: ClassProfile): void {
    const index = this.#ranking[this.#zipf.next(this.#random)] ?? 0;
    const prefix = Math.floor(this.#uniform() * PREFIXES_AN_ADAPTER);
    const promptTokens = this.#between(profile.promptTokens);
    this.#requests.push({
      request: requestId(`r${this.#requests.length}`),
      arrival,
      adapter: adapterAt(index),
      class: profile.class,
      tenant: tenantId(`t${index % TENANTS}`),
      promptTokens,
      prefixTokens: Math.floor(profile.prefixShare * profile.promptTokens[0]),
      prefixHash: `a${index}/${profile.class}/${prefix}`,
      outputTokens: this.#between(profile.outputTokens),
    });
  }

  #between([minimum, maximum]: readonly [number, number]): number {
    return Math.round(minimum + this.#uniform() * (maximum - minimum));
  }

  #uniform(): number {
    return uniformFloat64(this.#random);
  }
}

/**
 * Names an adapter of a workload.
 * @param index Its number.
 * @returns Its only version.
 */
export function adapterAt(index: number): AdapterReference {
  return {
    adapter: adapterId(`a${index}`),
    version: adapterVersion("1"),
  };
}
