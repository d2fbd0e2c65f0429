import {
  elapsed,
  type Instant,
  milliseconds,
  suspectedRunKey,
  type SuspicionKey,
} from "@foxtailwind/core";
import { setTimeout as sleep } from "node:timers/promises";
import type { SharedLog, SuspicionChange } from "../shared_log.ts";

/** How long changes are collected before they are written together. */
const BATCH_DELAY_MILLISECONDS = 20;
/** The delay between two attempts to write. */
const RETRY_DELAY_MILLISECONDS = 500;
/** The maximum number of unwritten changes; the oldest are dropped. */
const MAXIMUM_UNWRITTEN_CHANGES = 2_000;

/** How long a change is kept: an older copy of the log may lack it. */
const CHANGE_RETENTION = milliseconds(60_000);

/** A change, and when it was made. */
interface RecentChange {
  readonly change: SuspicionChange;
  readonly at: Instant;
}

/** Writes changes of suspicions to the platform's log until it accepts them. */
export class SuspicionWriter {
  readonly #log: Pick<SharedLog, "changeSuspicions">;
  readonly #unwritten = new Map<string, SuspicionChange>();
  readonly #recent = new Map<string, RecentChange>();
  #isWriting = false;
  #isStopped = false;

  /** @param log The log. */
  constructor(log: Pick<SharedLog, "changeSuspicions">) {
    this.#log = log;
  }

  /** The added suspicions that the log may not hold yet. */
  get pendingSuspicions(): readonly SuspicionKey[] {
    return [...this.#unwritten.values()].flatMap((change) =>
      change.kind === "added" ? [change.suspicion] : []
    );
  }

  /**
   * Adds a change, which replaces an unwritten one of the same suspicion.
   * @param now The present time.
   * @param change The change.
   */
  enqueue(now: Instant, change: SuspicionChange): void {
    for (const [oldest, { at }] of this.#recent) {
      if (elapsed(at, now) < CHANGE_RETENTION) break;
      this.#recent.delete(oldest);
    }
    const name = nameOf(change);
    this.#recent.delete(name);
    this.#recent.set(name, { change, at: now });
    this.#enqueue(change);
  }

  /**
   * Writes the changes of the last minute again.
   * @param now The present time.
   */
  rewriteRecent(now: Instant): void {
    for (const { change, at } of this.#recent.values()) {
      if (elapsed(at, now) < CHANGE_RETENTION) this.#enqueue(change);
    }
  }

  #enqueue(change: SuspicionChange): void {
    if (this.#unwritten.size >= MAXIMUM_UNWRITTEN_CHANGES) {
      const [oldest] = this.#unwritten.keys();
      if (oldest !== undefined) this.#unwritten.delete(oldest);
    }
    this.#unwritten.set(nameOf(change), change);
    if (!this.#isWriting) void this.#writeAll();
  }

  /** Stops writing. */
  stop(): void {
    this.#isStopped = true;
  }

  async #writeAll(): Promise<void> {
    this.#isWriting = true;
    await sleep(BATCH_DELAY_MILLISECONDS);
    while (this.#unwritten.size > 0 && !this.#isStopped) {
      const changes = [...this.#unwritten];
      const written = await this.#log.changeSuspicions(
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

function nameOf(change: SuspicionChange): string {
  const key = change.kind === "added" ? change.suspicion : change.key;
  return `${key.content} ${suspectedRunKey(key)}`;
}
