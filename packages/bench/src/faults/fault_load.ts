import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { ZipfSampler } from "../load/zipf.ts";
import type { AddressBook } from "../load/address_book.ts";
import type { CallRecord } from "./call_record.ts";
import type { FaultCaller } from "./fault_caller.ts";

/** Parameters of the load. */
export interface FaultLoadPlan {
  readonly completionsPerSecond: number;
  readonly bookingsPerSecond: number;
  /** Share of bookings with an unscoped key, which is claimed in the log. */
  readonly freeKeyShare: number;
  readonly adapters: number;
  readonly zipfExponent: number;
  readonly seed: number;
}

const MILLISECONDS_PER_SECOND = 1_000;
const MINIMUM_TOKENS = 10;
const MAXIMUM_TOKENS = 60;

/** Sends completions and bookings at random times and records outcomes. */
export class FaultLoad {
  readonly records: CallRecord[] = [];
  readonly #caller: FaultCaller;
  readonly #addressBook: AddressBook;
  readonly #plan: FaultLoadPlan;
  readonly #random: RandomGenerator;
  readonly #zipf: ZipfSampler;
  readonly #pendingCalls: Promise<void>[] = [];
  #stopped = false;
  #sent = 0;

  constructor(caller: FaultCaller, book: AddressBook, plan: FaultLoadPlan) {
    this.#caller = caller;
    this.#addressBook = book;
    this.#plan = plan;
    this.#random = xoroshiro128plus(plan.seed);
    this.#zipf = new ZipfSampler(plan.adapters, plan.zipfExponent);
  }

  /** Number of requests sent so far. */
  get sent(): number {
    return this.#sent;
  }

  /** Sends until {@link stop} is called, then waits for the responses. */
  async run(): Promise<void> {
    await Promise.all([
      this.#sendAtRandomTimes(
        this.#plan.completionsPerSecond,
        () => this.#complete(),
      ),
      this.#sendAtRandomTimes(
        this.#plan.bookingsPerSecond,
        () => this.#bookSlot(),
      ),
    ]);
    await Promise.all(this.#pendingCalls);
  }

  /** Sends no further requests. */
  stop(): void {
    this.#stopped = true;
  }

  async #sendAtRandomTimes(
    perSecond: number,
    send: () => Promise<CallRecord>,
  ): Promise<void> {
    let next = performance.now();
    while (!this.#stopped) {
      await this.#addressBook.refresh(performance.now());
      const gap = -Math.log(1 - uniformFloat64(this.#random));
      next += gap * MILLISECONDS_PER_SECOND / perSecond;
      await sleep(Math.max(0, next - performance.now()));
      this.#sent += 1;
      this.#pendingCalls.push(
        send().then((record) => {
          if (record.verdict === "lost") this.#addressBook.exclude(record.node);
          this.records.push(record);
        }),
      );
    }
  }

  async #complete(): Promise<CallRecord> {
    const interactive = uniformFloat64(this.#random) < INTERACTIVE_SHARE;
    return await this.#caller.complete({
      key: `completion-${this.#sent}`,
      node: this.#addressBook.next(),
      className: interactive ? "drafting" : "batch-notes",
      adapter: `adapter-${this.#zipf.next(this.#random)}@v1`,
      maximumTokens: uniformInt(
        this.#random,
        MINIMUM_TOKENS,
        MAXIMUM_TOKENS,
      ),
    });
  }

  async #bookSlot(): Promise<CallRecord> {
    const isFree = uniformFloat64(this.#random) < this.#plan.freeKeyShare;
    const scope = isFree ? "" : this.#addressBook.keyScope;
    return await this.#caller.book({
      key: `${scope}booking-${this.#plan.seed}-${this.#sent}`,
      node: this.#addressBook.next(),
    });
  }
}

const INTERACTIVE_SHARE = 0.7;
