import {
  type ContentDigest,
  CrashBursts,
  type CrashSuspicion,
  type Duration,
  elapsed,
  type Instant,
  later,
  MAXIMUM_SUSPECT_RUN_TIME,
  milliseconds,
  type RegisteredServer,
  type RequestQuarantine,
  type ServerLoad,
  SURVIVAL_CHECKS,
  type Suspect,
  suspectRunTime,
  type SuspicionKey,
} from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { ComponentLogger } from "../../logging/component_logger.ts";
import type { CallEnd } from "../backend_call.ts";
import type { Knowledge } from "../knowledge.ts";
import type { RequestContent } from "./request_content.ts";
import { SuspicionWriter } from "./suspicion_writer.ts";
import type { SharedLog } from "../shared_log.ts";

/**
 * How long after a broken call a suspicion is settled: within this time, a
 * server that still runs has sent bytes of other answers.
 */
const SETTLE_DELAY = milliseconds(200);
/** Bytes that a server sent before it ended may be read this long after. */
const LATE_BYTES_ALLOWANCE = milliseconds(60);
/** The maximum number of answers remembered that ended with a connection. */
const MAXIMUM_UNMARKED_ENDS = 500;

/** Dependencies of `CrashReports`. */
export interface CrashReportsParts {
  readonly knowledge: Knowledge;
  readonly log: Pick<SharedLog, "changeSuspicions">;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

/** A content or part that is refused. */
export interface Quarantine {
  readonly content: ContentDigest;
  /** The time until it may be tried again. */
  readonly remaining: Duration;
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

/** A call whose answer ended with its connection, as a broken one may. */
interface UnmarkedEnd {
  readonly content: RequestContent;
  readonly server: RegisteredServer;
  readonly ranFor: Duration;
  readonly endedAt: Instant;
}

/** A call whose answer has begun. */
export interface BegunCall {
  readonly server: RegisteredServer;
  /** Resolves with how the call ended. */
  readonly ended: Promise<CallEnd>;
}

/**
 * Suspects requests of crashing their servers, and shares the suspicions with
 * all nodes through the platform's log, which outlives the nodes.
 */
export class CrashReports {
  readonly #parts: CrashReportsParts;
  readonly #quarantine: RequestQuarantine;
  readonly #writer: SuspicionWriter;
  readonly #bursts = new CrashBursts();
  #unmarkedEnds: readonly UnmarkedEnd[] = [];
  #isStopped = false;

  /** @param parts The dependencies. */
  constructor(parts: CrashReportsParts) {
    this.#parts = parts;
    const { knowledge } = parts;
    this.#quarantine = knowledge.suspicionTracker.quarantine;
    this.#writer = new SuspicionWriter(parts.log);
    knowledge.suspicionTracker.pendingSuspicions = () =>
      this.#writer.pendingSuspicions;
    knowledge.suspicionTracker.onSuspicionsDisproved = (dropped) => {
      if (knowledge.isWatcher) this.#writeDropped(dropped);
    };
  }

  /**
   * Finds why a request is refused: its content or a part of its prompt.
   * @param content The request's content.
   * @returns What is refused, or `undefined` if the request isn't.
   */
  findQuarantine(content: RequestContent): Quarantine | undefined {
    if (this.#quarantine.isEmpty) return undefined;
    const now = this.#parts.clock.now();
    for (const digest of [...content.partDigests, content.digest]) {
      const remaining = this.#quarantine.remainingTime(now, digest);
      if (remaining !== undefined) return { content: digest, remaining };
    }
    return undefined;
  }

  /** Everything that is refused. */
  get quarantines(): readonly Quarantine[] {
    const now = this.#parts.clock.now();
    return [...this.#quarantine.quarantinedContents(now)].flatMap((content) => {
      const remaining = this.#quarantine.remainingTime(now, content);
      return remaining === undefined ? [] : [{ content, remaining }];
    });
  }

  /**
   * Lifts the quarantine of a content or part at all nodes. It is refused again
   * after further crashes.
   * @param content Its digest.
   * @returns Whether it was suspected.
   */
  liftQuarantine(content: ContentDigest): boolean {
    const run = {
      begunAt: this.#parts.clock.now(),
      lasted: MAXIMUM_SUSPECT_RUN_TIME,
    };
    const dropped = this.#quarantine.recordSurvival(run, [content]);
    this.#writeDropped(dropped);
    if (dropped.length === 0) return false;
    this.#parts.logger.warn("An operator lifts a quarantine.", { content });
    return true;
  }

  /**
   * Records that a request was served completely.
   * @param content The request's content.
   */
  recordServed(content: RequestContent): void {
    if (this.#quarantine.isEmpty) return;
    const now = this.#parts.clock.now();
    const run = { begunAt: now, lasted: MAXIMUM_SUSPECT_RUN_TIME };
    this.#writeDropped(this.#quarantine.recordSurvival(run, [content.digest]));
  }

  /**
   * Records that a request's answer has begun. Its content and the parts of its
   * prompt are cleared unless the server ends soon. An answer that is complete
   * before that doesn't clear the parts sooner: the server may yet end.
   * @param content The request's content.
   * @param call The call.
   */
  recordBegun(
    content: RequestContent,
    { server: { id, start }, ended }: BegunCall,
  ): void {
    if (this.#quarantine.isEmpty) return;
    const begunAt = this.#parts.clock.now();
    const contents = [...content.partDigests, content.digest];
    if (!this.#quarantine.hasSuspicions(begunAt, contents)) return;
    let isBroken = false;
    void ended.then((end) => {
      isBroken = end.kind === "broken";
    });
    for (const lasted of SURVIVAL_CHECKS) {
      setTimeout(() => {
        afterPendingInput(() => {
          if (this.#isStopped || isBroken) return;
          if (this.#quarantine.hasCrashed(id, start)) return;
          const run = { begunAt, lasted };
          this.#writeDropped(this.#quarantine.recordSurvival(run, contents));
        });
      }, lasted);
    }
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
    const suspicions = createSuspicions(call.server, content.suspects, time);
    // Parts are suspected only once it is known that the server has ended:
    // lost connections to servers that still run would count against all parts.
    for (const one of suspicions) {
      const isWhole = one.partPosition === undefined;
      if (isWhole) this.#quarantine.addSuspicion(brokeAt, one);
    }
    setTimeout(() => {
      afterPendingInput(() => {
        this.#settle(suspicions, call, brokeAt);
      });
    }, SETTLE_DELAY);
  }

  /**
   * Records an answer that ended with its connection. It is suspect if another
   * call shows that the server ended at that time.
   * @param content The request's content.
   * @param server The server.
   * @param ranFor The time from the answer's first bytes to its end.
   */
  recordUnmarkedEnd(
    content: RequestContent,
    server: RegisteredServer,
    ranFor: Duration,
  ): void {
    if (suspectRunTime(ranFor) === undefined) return;
    const endedAt = this.#parts.clock.now();
    this.#unmarkedEnds = [
      ...this.#unmarkedEnds.filter((one) =>
        elapsed(one.endedAt, endedAt) <= MAXIMUM_SUSPECT_RUN_TIME
      ).slice(-MAXIMUM_UNMARKED_ENDS),
      { content, server, ranFor, endedAt },
    ];
  }

  /**
   * Drops expired suspicions, and applies what is to blame by now. Only the
   * watcher nodes also drop suspicions from the log.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    if (this.#quarantine.isEmpty) return;
    const expired = this.#quarantine.expire(now);
    this.#parts.knowledge.suspicionTracker.reportRefused();
    if (this.#parts.knowledge.isWatcher) this.#writeDropped(expired);
  }

  /** Writes again what the log may have lost. */
  rewriteRecent(): void {
    this.#writer.rewriteRecent(this.#parts.clock.now());
  }

  /** Stops writing to the log. */
  stop(): void {
    this.#isStopped = true;
    this.#writer.stop();
  }

  #writeDropped(dropped: readonly SuspicionKey[]): void {
    const now = this.#parts.clock.now();
    for (const key of dropped) {
      this.#writer.enqueue(now, { kind: "dropped", key });
    }
  }

  #settle(
    suspicions: readonly CrashSuspicion[],
    { server, load, isConnected }: BrokenCall,
    brokeAt: Instant,
  ): void {
    if (this.#isStopped) return;
    const { lastBytesAt } = load;
    const isAlive = lastBytesAt !== undefined &&
      lastBytesAt > later(brokeAt, LATE_BYTES_ALLOWANCE);
    if (isAlive || isConnected()) {
      for (const one of suspicions) this.#quarantine.dropSuspicion(one);
      return;
    }
    const settled = this.#bursts.attribute(brokeAt, suspicions);
    for (const one of settled) this.#quarantine.addSuspicion(brokeAt, one);
    const now = this.#parts.clock.now();
    for (const one of [...settled, ...this.#suspectEnds(server, brokeAt)]) {
      this.#parts.logger.info("A request may have crashed a server.", {
        server: one.server,
        start: one.start,
        content: one.content,
        ran_for: Math.round(one.ranFor),
      });
      this.#writer.enqueue(now, { kind: "added", suspicion: one });
    }
  }

  /** Suspects the answers that ended with their connection as a server did. */
  #suspectEnds(
    server: RegisteredServer,
    brokeAt: Instant,
  ): readonly CrashSuspicion[] {
    const isConcerned = (one: UnmarkedEnd): boolean =>
      one.server.id === server.id && one.server.start === server.start &&
      Math.abs(elapsed(one.endedAt, brokeAt)) <= SETTLE_DELAY;
    const ends = this.#unmarkedEnds.filter(isConcerned);
    this.#unmarkedEnds = this.#unmarkedEnds.filter((one) => !isConcerned(one));
    return ends.flatMap(({ content, ranFor, endedAt }) => {
      const suspicions = this.#bursts.attribute(
        endedAt,
        createSuspicions(server, content.suspects, ranFor),
      );
      for (const one of suspicions) this.#quarantine.addSuspicion(endedAt, one);
      return suspicions;
    });
  }
}

function createSuspicions(
  { id, start }: RegisteredServer,
  suspects: readonly Suspect[],
  ranFor: Duration,
): readonly CrashSuspicion[] {
  return suspects.map((suspect) => ({
    ...suspect,
    server: id,
    ...(start === undefined ? {} : { start }),
    ranFor,
  }));
}
