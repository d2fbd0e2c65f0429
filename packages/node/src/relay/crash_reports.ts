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
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { Knowledge } from "./knowledge.ts";
import type { RequestContent } from "./request_content.ts";
import type { SharedLog, SuspicionChange } from "./shared_log.ts";

/** After so long, a server that lives has sent bytes of other answers. */
const SETTLING_TIME = milliseconds(200);
/** What a server sent before its end is read within this time after it. */
const LATE_BYTES_TIME = milliseconds(60);
/** Changes of so many milliseconds are written together. */
const GATHERING_MILLISECONDS = 20;
/** Between two tries to write, in milliseconds. */
const RETRY_MILLISECONDS = 500;
/** Changes that wait to be written at most; the oldest are left out. */
const MOST_UNWRITTEN = 2_000;

/** What crash reports work with. */
export interface CrashReportsParts {
  readonly knowledge: Knowledge;
  readonly log: Pick<SharedLog, "changeSuspicions">;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
}

/** A call that the server's side broke off. */
export interface BrokenCall {
  readonly server: RegisteredServer;
  readonly load: ServerLoad;
  /** Tells whether other connections to the server are open. */
  readonly isConnected: () => boolean;
  /** From the first bytes of its answer to its end, where some came. */
  readonly ranFor: Duration | undefined;
}

/**
 * Suspects requests of having ended their servers, and shares that with all
 * nodes through the platform's log, which outlasts them.
 */
export class CrashReports {
  readonly #parts: CrashReportsParts;
  readonly #quarantine: RequestQuarantine;
  readonly #unwritten = new Map<string, SuspicionChange>();
  #isWriting = false;
  #isStopped = false;

  /** @param parts What it works with. */
  constructor(parts: CrashReportsParts) {
    this.#parts = parts;
    const { knowledge } = parts;
    this.#quarantine = knowledge.suspicions.quarantine;
    knowledge.suspicions.unwritten = () =>
      [...this.#unwritten.values()].flatMap((change) =>
        change.kind === "added" ? [change.suspicion] : []
      );
    knowledge.suspicions.onServersLive = (dropped) => {
      if (knowledge.isWatcher) this.#writeDropped(dropped);
    };
  }

  /**
   * Tells whether a content is refused.
   * @param content The content.
   * @returns The time until it may be tried again, or nothing.
   */
  refusedFor(content: RequestContent): Duration | undefined {
    if (this.#quarantine.isEmpty) return undefined;
    const now = this.#parts.clock.now();
    return this.#quarantine.remainingTime(now, content.digest);
  }

  /**
   * Takes note of a request that was served to its end.
   * @param content Its content.
   */
  served(content: RequestContent): void {
    if (this.#quarantine.isEmpty) return;
    this.#writeDropped(this.#quarantine.recordServed(content.digest));
  }

  /**
   * Takes note of a call that the server's side broke off.
   * @param content What was asked for.
   * @param call The call.
   */
  broke(content: RequestContent, call: BrokenCall): void {
    const time = suspectRunTime(call.ranFor);
    if (time === undefined) return;
    const brokeAt = this.#parts.clock.now();
    const suspicion = suspicionOf(call.server, content.digest, time);
    this.#quarantine.addSuspicion(brokeAt, suspicion);
    setTimeout(() => {
      afterPendingInput(() => {
        this.#settle(suspicion, call, brokeAt);
      });
    }, SETTLING_TIME);
  }

  /**
   * Forgets what is too old. Of all nodes the watchers drop it from the log.
   * @param now The present time.
   */
  expire(now: Instant): void {
    const expired = this.#quarantine.expire(now);
    if (this.#parts.knowledge.isWatcher) this.#writeDropped(expired);
  }

  /** Writes no more. */
  stop(): void {
    this.#isStopped = true;
  }

  #writeDropped(dropped: readonly SuspicionKey[]): void {
    for (const key of dropped) this.#change(key, { kind: "dropped", key });
  }

  #settle(
    suspicion: CrashSuspicion,
    { load, isConnected }: BrokenCall,
    brokeAt: Instant,
  ): void {
    if (this.#isStopped) return;
    const { lastBytesAt: heardAt } = load;
    const wasHeard = heardAt !== undefined &&
      heardAt > later(brokeAt, LATE_BYTES_TIME);
    if (wasHeard || isConnected()) {
      this.#quarantine.dropSuspicion(suspicion);
      return;
    }
    this.#parts.logger.info("A server may have ended under a request.", {
      server: suspicion.server,
      start: suspicion.start,
      content: suspicion.content,
      ran_for: Math.round(suspicion.ranFor),
    });
    this.#change(suspicion, { kind: "added", suspicion });
  }

  #change(key: SuspicionKey, change: SuspicionChange): void {
    if (this.#unwritten.size >= MOST_UNWRITTEN) {
      const [oldest] = this.#unwritten.keys();
      if (oldest !== undefined) this.#unwritten.delete(oldest);
    }
    this.#unwritten.set(`${key.content} ${suspectedRunKey(key)}`, change);
    if (!this.#isWriting) void this.#write();
  }

  async #write(): Promise<void> {
    this.#isWriting = true;
    await sleep(GATHERING_MILLISECONDS);
    while (this.#unwritten.size > 0 && !this.#isStopped) {
      const changes = [...this.#unwritten];
      const written = await this.#parts.log.changeSuspicions(
        changes.map(([, change]) => change),
      );
      if (written.isErr()) {
        await sleep(RETRY_MILLISECONDS);
        continue;
      }
      for (const [key, change] of changes) {
        if (this.#unwritten.get(key) === change) this.#unwritten.delete(key);
      }
    }
    this.#isWriting = false;
  }
}

function suspicionOf(
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
