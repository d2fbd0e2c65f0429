import { instant, latestStart, milliseconds } from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import type { AdmissionWay, EmulatedUse } from "./admission_ways.ts";

const PLACES = 10;
const STEP_MILLISECONDS = 2;
const END_MILLISECONDS = 60_000;
const SECOND_MILLISECONDS = 1_000;
/** The longest run to the shortest is as 3 to 1. */
const RUN_MILLISECONDS = { shortest: 200, longest: 600 } as const;
const PREFILL_MILLISECONDS = 20;

/** A class of requests in an emulation. */
export interface EmulatedClass {
  readonly name: string;
  readonly priority: number;
  readonly accounts: number;
  /** Requests in a second, of all accounts together. */
  readonly rate: number;
  readonly target: number;
  readonly longestWait: number;
  /** How many times its usual the first account sends. */
  readonly hotFactor: number;
}

/** What became of a class's requests of one account, or of several. */
export interface AdmissionCount {
  asked: number;
  begun: number;
  inTime: number;
}

/** The counts of each class, by account. */
export type AdmissionReport = ReadonlyMap<string, readonly AdmissionCount[]>;

interface Arrival {
  readonly use: EmulatedUse;
  readonly count: AdmissionCount;
}

/**
 * Emulates the requests for places of one engine, without a network.
 * @param classes The load.
 * @param way How places are given out.
 * @param seed The seed of the load.
 * @returns What became of the requests.
 */
export function emulateAdmission(
  classes: readonly EmulatedClass[],
  way: AdmissionWay,
  seed: number,
): AdmissionReport {
  const report = new Map<string, readonly AdmissionCount[]>();
  const counts = new Map<EmulatedUse, AdmissionCount>();
  const arrivals = classes.flatMap((one, index) => {
    const own = Array.from(
      { length: one.accounts },
      () => ({ asked: 0, begun: 0, inTime: 0 }),
    );
    report.set(one.name, own);
    return drawArrivals(one, own, new SeededRandom(seed * 97 + index));
  }).toSorted((left, right) => left.use.arrivedAt - right.use.arrivedAt);
  let next = 0;
  let running: number[] = [];
  for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
    running = running.filter((end) => end > now);
    for (; (arrivals[next]?.use.arrivedAt ?? Infinity) <= now; next += 1) {
      const arrival = arrivals[next];
      if (arrival === undefined) break;
      arrival.count.asked += 1;
      counts.set(arrival.use, arrival.count);
      way.add(instant(now), arrival.use);
    }
    way.expire(instant(now));
    for (;;) {
      const free = PLACES - running.length;
      const use = free > 0
        ? way.take(instant(now), { total: PLACES, free })
        : undefined;
      if (use === undefined) break;
      running.push(now + use.runMilliseconds);
      const count = counts.get(use);
      if (count === undefined) continue;
      count.begun += 1;
      if (latestStart(use.terms) >= now) count.inTime += 1;
    }
  }
  return report;
}

/**
 * Sums counts.
 * @param counts The counts.
 * @returns The shares begun and in time of all requests.
 */
export function admissionShares(
  counts: readonly AdmissionCount[],
): { readonly begun: number; readonly inTime: number } {
  const sum = (key: keyof AdmissionCount) =>
    counts.reduce((total, count) => total + count[key], 0);
  const asked = Math.max(1, sum("asked"));
  return { begun: sum("begun") / asked, inTime: sum("inTime") / asked };
}

function drawArrivals(
  one: EmulatedClass,
  counts: readonly AdmissionCount[],
  random: SeededRandom,
): readonly Arrival[] {
  return counts.flatMap((count, account) => {
    const factor = account === 0 ? one.hotFactor : 1;
    const rate = factor * one.rate / one.accounts;
    const arrivals: Arrival[] = [];
    let at = 0;
    for (;;) {
      at += -Math.log(1 - random.next()) * SECOND_MILLISECONDS / rate;
      if (at >= END_MILLISECONDS) return arrivals;
      arrivals.push({ use: drawUse(one, at, `${account}`, random), count });
    }
  });
}

function drawUse(
  { priority, target, longestWait }: EmulatedClass,
  at: number,
  account: string,
  random: SeededRandom,
): EmulatedUse {
  const { shortest, longest } = RUN_MILLISECONDS;
  const runMilliseconds = shortest + (longest - shortest) * random.next();
  return {
    arrivedAt: instant(at),
    runMilliseconds,
    terms: {
      priority,
      account,
      work: Math.round(runMilliseconds),
      prefillTime: milliseconds(PREFILL_MILLISECONDS),
      needsBreak: false,
      deadline: instant(at + target),
      waitsUntil: instant(at + longestWait),
    },
  };
}
