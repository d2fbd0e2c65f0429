import {
  type ContentDigest,
  type CrashSuspicion,
  type Duration,
  type Instant,
  later,
  milliseconds,
  type RegisteredServer,
  type RequestQuarantine,
  type ServerLoad,
  suspectedRunKey,
  suspectRunTime,
  type SuspicionKey,
} from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import { setTimeout as sleep } from "node:timers/promises";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { ComponentLogger } from "../../logging/component_logger.ts";
import type { Knowledge } from "../knowledge.ts";
import type { RequestContent } from "./request_content.ts";
import type { SharedLog, SuspicionChange } from "../shared_log.ts";

/**
 * How long after a broken call a suspicion is settled: within this time, a
 * server that still runs has sent bytes of other answers.
 */
const SETTLE_DELAY = milliseconds(200);
/** Bytes that a server sent before it ended may be read this long after. */
const LATE_BYTES_ALLOWANCE = milliseconds(60);
/** How long changes are collected before they are written together. */
const BATCH_DELAY_MILLISECONDS = 20;
/** The delay between two attempts to write. */
const RETRY_DELAY_MILLISECONDS = 500;
/** The maximum number of unwritten changes; the oldest are dropped. */
const MAXIMUM_UNWRITTEN_CHANGES = 2_000;

/** Dependencies of `CrashReports`. */
export interface CrashReportsParts {
  readonly knowledge: Knowledge;
  readonly log: Pick<SharedLog, "changeSuspicions">;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

/** A call that was broken off on the server's side. */
export interface BrokenCall {
  readonly server: RegisteredServer;
  readonly load: ServerLoad;
  /** Whether other connections to the server are open. */
  readonly isConnected: () => boolean;
  /** The time from the answer's first bytes to its end, if any came. */
  readonly ranFor: Duration | undefined;
}

/**
 * Suspects requests of crashing their servers, and shares the suspicions with
 * all nodes through the platform's log, which outlives the nodes.
 */
export class CrashReports {
  readonly #parts: CrashReportsParts;
  readonly #quarantine: RequestQuarantine;
  readonly #unwritten = new Map<string, SuspicionChange>();
  #isWriting = false;
  #isStopped = false;

  /** @param parts The dependencies. */
  constructor(parts: CrashReportsParts) {
    this.#parts = parts;
    const { knowledge } = parts;
    this.#quarantine = knowledge.suspicionTracker.quarantine;
    knowledge.suspicionTracker.pendingSuspicions = () =>
      [...this.#unwritten.values()].flatMap((change) =>
        change.kind === "added" ? [change.suspicion] : []
      );
    knowledge.suspicionTracker.onSuspicionsDisproved = (dropped) => {
      if (knowledge.isWatcher) this.#writeDropped(dropped);
    };
  }

  /**
   * Returns how long requests with a content are still refused.
   * @param content The request's content.
   * @returns The time until it may be tried again, or `undefined` if it isn't
   * refused.
   */
  remainingQuarantine(content: RequestContent): Duration | undefined {
    if (this.#quarantine.isEmpty) return undefined;
    const now = this.#parts.clock.now();
    return this.#quarantine.remainingTime(now, content.digest);
  }

  /**
   * Records that a request was served completely.
   * @param content The request's content.
   */
  recordServed(content: RequestContent): void {
    if (this.#quarantine.isEmpty) return;
    this.#writeDropped(this.#quarantine.recordServed(content.digest));
  }

  /**
   * Records a call that was broken off on the server's side.
   * @param content The request's content.
   * @param call The call.
   */
  recordBrokenCall(content: RequestContent, call: BrokenCall): void {
    const time = suspectRunTime(call.ranFor);
    if (time === undefined) return;
    const brokeAt = this.#parts.clock.now();
    const suspicion = createSuspicion(call.server, content.digest, time);
    this.#quarantine.addSuspicion(brokeAt, suspicion);
    setTimeout(() => {
      afterPendingInput(() => {
        this.#settle(suspicion, call, brokeAt);
      });
    }, SETTLE_DELAY);
  }

  /**
   * Drops expired suspicions. Only the watcher nodes also drop them from the
   * log.
   * @param now The present time.
   */
  expire(now: Instant): void {
    const expired = this.#quarantine.expire(now);
    if (this.#parts.knowledge.isWatcher) this.#writeDropped(expired);
  }

  /** Stops writing to the log. */
  stop(): void {
    this.#isStopped = true;
  }

  #writeDropped(dropped: readonly SuspicionKey[]): void {
    for (const key of dropped) {
      this.#enqueueChange(key, { kind: "dropped", key });
    }
  }

  #settle(
    suspicion: CrashSuspicion,
    { load, isConnected }: BrokenCall,
    brokeAt: Instant,
  ): void {
    if (this.#isStopped) return;
    const { lastBytesAt } = load;
    const isAlive = lastBytesAt !== undefined &&
      lastBytesAt > later(brokeAt, LATE_BYTES_ALLOWANCE);
    if (isAlive || isConnected()) {
      this.#quarantine.dropSuspicion(suspicion);
      return;
    }
    this.#parts.logger.info("A request may have crashed a server.", {
      server: suspicion.server,
      start: suspicion.start,
      content: suspicion.content,
      ran_for: Math.round(suspicion.ranFor),
    });
    this.#enqueueChange(suspicion, { kind: "added", suspicion });
  }

  #enqueueChange(key: SuspicionKey, change: SuspicionChange): void {
    if (this.#unwritten.size >= MAXIMUM_UNWRITTEN_CHANGES) {
      const [oldest] = this.#unwritten.keys();
      if (oldest !== undefined) this.#unwritten.delete(oldest);
    }
    this.#unwritten.set(`${key.content} ${suspectedRunKey(key)}`, change);
    if (!this.#isWriting) void this.#writeChanges();
  }

  async #writeChanges(): Promise<void> {
    this.#isWriting = true;
    await sleep(BATCH_DELAY_MILLISECONDS);
    while (this.#unwritten.size > 0 && !this.#isStopped) {
      const changes = [...this.#unwritten];
      const written = await this.#parts.log.changeSuspicions(
        changes.map(([, change]) => change),
      );
      if (written.isErr()) {
        await sleep(RETRY_DELAY_MILLISECONDS);
        continue;
      }
      for (const [key, change] of changes) {
        if (this.#unwritten.get(key) === change) this.#unwritten.delete(key);
      }
    }
    this.#isWriting = false;
  }
}

function createSuspicion(
  { id, start }: RegisteredServer,
  content: ContentDigest,
  ranFor: Duration,
): CrashSuspicion {
  return {
    content,
    server: id,
    ...(start === undefined ? {} : { start }),
    ranFor,
  };
}
