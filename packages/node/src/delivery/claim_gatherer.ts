import {
  CLAIM_STREAM,
  ClaimBatcher,
  type ClaimRecord,
  type ClaimVerdict,
  DeliveryRules,
  formatClaimRecord,
  type KeyClaim,
  type LogOffset,
  milliseconds,
  parseClaimRecord,
  seconds,
} from "@foxtailwind/core";
import type { LogClient } from "@foxtailwind/edges";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { FREE_KEY_WINDOW } from "./key_limits.ts";

const BATCH_INTERVAL = milliseconds(50);
const SETTLE_TIMEOUT = seconds(2);
const MAXIMUM_BATCH_CLAIMS = 2_000;
const MAXIMUM_KEYS = 200_000;
const PAGE_RECORDS = 1_000;
const LONG_POLL_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 100;
const TICK_MILLISECONDS = 10;

/**
 * Claims free keys in the log for all nodes of a failure domain. It reads the
 * log only while claims are pending, so it costs nothing when unused.
 */
export class ClaimGatherer {
  readonly #log: LogClient;
  readonly #clock: SteadyClock;
  readonly #batcher: ClaimBatcher;
  readonly #pendingClaims = new Map<string, (verdict: ClaimVerdict) => void>();
  #isReading = false;
  #ticker: NodeJS.Timeout | undefined;
  #stopped = false;

  /**
   * @param log The log.
   * @param clock The clock of this VM.
   */
  constructor(log: LogClient, clock: SteadyClock) {
    this.#log = log;
    this.#clock = clock;
    this.#batcher = new ClaimBatcher({
      batchInterval: BATCH_INTERVAL,
      settleTimeout: SETTLE_TIMEOUT,
      maximumBatch: MAXIMUM_BATCH_CLAIMS,
      maximumKeys: MAXIMUM_KEYS,
      window: FREE_KEY_WINDOW,
      rules: new DeliveryRules(),
      recordId: () => randomUUID(),
    });
  }

  /** A lower bound on the offsets of later claims, used in key prefixes. */
  get epoch(): LogOffset {
    return this.#batcher.index.nextOffset;
  }

  /**
   * Claims a key.
   * @param claim The claim.
   * @returns The winning claim, or why the claim was not settled.
   */
  claim(claim: KeyClaim): Promise<ClaimVerdict> {
    return new Promise((resolve) => {
      this.#pendingClaims.set(claim.nonce, resolve);
      this.#batcher.submit(this.#clock.now(), claim);
      this.#ensureRunning();
    });
  }

  /** Stops reading and appending. */
  stop(): void {
    this.#stopped = true;
    clearInterval(this.#ticker);
  }

  #ensureRunning(): void {
    if (this.#stopped) return;
    this.#ticker ??= setInterval(() => {
      this.#processPending();
    }, TICK_MILLISECONDS);
    if (!this.#isReading) void this.#readWhilePending();
    this.#processPending();
  }

  #processPending(): void {
    const now = this.#clock.now();
    const batch = this.#batcher.takeBatch(now);
    if (batch !== undefined) void this.#append(batch);
    for (const { nonce, verdict } of this.#batcher.takeSettled(now)) {
      const resolve = this.#pendingClaims.get(nonce);
      this.#pendingClaims.delete(nonce);
      resolve?.(verdict);
    }
    if (this.#pendingClaims.size > 0) return;
    clearInterval(this.#ticker);
    this.#ticker = undefined;
  }

  async #append(batch: ClaimRecord): Promise<void> {
    const data = [formatClaimRecord(batch)];
    const appended = await this.#log.append(CLAIM_STREAM, data);
    const failure = appended.isErr() ? appended.error : undefined;
    this.#batcher.appendEnded(batch.id, failure);
    this.#processPending();
  }

  async #readWhilePending(): Promise<void> {
    this.#isReading = true;
    while (!this.#stopped && this.#pendingClaims.size > 0) {
      const wasRead = await this.#readPage();
      if (!wasRead) await sleep(RETRY_MILLISECONDS);
    }
    this.#isReading = false;
  }

  async #readPage(): Promise<boolean> {
    const page = await this.#log.read(CLAIM_STREAM, {
      from: this.#batcher.index.nextOffset,
      limit: PAGE_RECORDS,
      waitMilliseconds: LONG_POLL_MILLISECONDS,
    });
    if (page.isErr()) return false;
    const now = this.#clock.now();
    this.#batcher.index.noteFirstKept(page.value.firstKept);
    for (const { offset, data } of page.value.records) {
      const record = parseClaimRecord(data);
      this.#batcher.apply(now, offset, record.unwrapOr(undefined));
    }
    this.#processPending();
    return true;
  }
}
