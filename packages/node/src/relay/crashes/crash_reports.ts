import {
  type ContentDigest,
  CrashBursts,
  type CrashSuspicion,
  type Duration,
  type EndedCall,
  type EndEvidence,
  type HeldCall,
  type Instant,
  MAXIMUM_SUSPECT_RUN_TIME,
  type RegisteredServer,
  type RequestQuarantine,
  type ServerRun,
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
import { type BrokenCall, RunEndFinder } from "./run_end_finder.ts";
import { SuspicionWriter } from "./suspicion_writer.ts";
import { UnmarkedEnds } from "./unmarked_ends.ts";
import type { SharedLog } from "../shared_log.ts";

/** What tells of the end of a run long after it. */
const LATE_EVIDENCE: ReadonlySet<EndEvidence> = new Set([
  "restarted",
  "removed",
]);

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
  readonly #runEnds: RunEndFinder;
  readonly #unmarkedEnds = new UnmarkedEnds();
  #isStopped = false;

  /** @param parts The dependencies. */
  constructor(parts: CrashReportsParts) {
    this.#parts = parts;
    const { knowledge } = parts;
    this.#quarantine = knowledge.suspicionTracker.quarantine;
    this.#writer = new SuspicionWriter(parts.log);
    this.#runEnds = new RunEndFinder({
      ...parts,
      held: this.#quarantine.held,
      listener: {
        onRefused: (call) => {
          this.#suspectContent(call);
        },
        onEnded: (ended) => {
          this.#suspect(ended);
        },
        onAlive: ({ suspicions }) => {
          for (const one of suspicions) this.#quarantine.dropSuspicion(one);
        },
      },
    });
    knowledge.suspicionTracker.onRegistryChanged = () => {
      this.#runEnds.applyRegistry();
    };
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
    const now = this.#parts.clock.now();
    if (this.#quarantine.quarantinedContents(now).size === 0) return undefined;
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
    if (!this.#quarantine.hasCrashes) return;
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
    if (!this.#quarantine.hasCrashes) return;
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
    const suspicions = time === undefined
      ? []
      : createSuspicions(call.server, content.suspects, time);
    this.#runEnds.recordBrokenCall(call, suspicions);
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
    this.#unmarkedEnds.add({ content, server, ranFor, endedAt });
  }

  /**
   * Drops expired suspicions, and applies what is to blame by now. Only the
   * watcher nodes also drop suspicions from the log.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    this.#runEnds.refresh();
    if (!this.#quarantine.hasCrashes) return;
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
    this.#runEnds.stop();
    this.#writer.stop();
  }

  #writeDropped(dropped: readonly SuspicionKey[]): void {
    const now = this.#parts.clock.now();
    for (const key of dropped) {
      this.#writer.enqueue(now, { kind: "dropped", key });
    }
  }

  /**
   * Suspects a content before its server is settled to have ended: its request
   * is retried at once. A part waits, as a node that loses its connections sees
   * several servers refuse others.
   */
  #suspectContent({ brokeAt, suspicions }: HeldCall): void {
    for (const one of suspicions) {
      const isWhole = one.partPosition === undefined;
      if (isWhole) this.#quarantine.addSuspicion(brokeAt, one);
    }
  }

  #suspect({ call, evidence }: EndedCall): void {
    const { server, brokeAt, suspicions } = call;
    const now = this.#parts.clock.now();
    // Runs that began before the end was known were not watched.
    const suspectedAt = LATE_EVIDENCE.has(evidence) ? now : brokeAt;
    const settled = this.#bursts.attribute(brokeAt, suspicions);
    for (const one of settled) this.#quarantine.addSuspicion(suspectedAt, one);
    for (const one of [...settled, ...this.#suspectEnds(server, brokeAt)]) {
      this.#parts.logger.info("A request may have crashed a server.", {
        server: one.server,
        start: one.start,
        content: one.content,
        ran_for: Math.round(one.ranFor),
        evidence,
      });
      this.#writer.enqueue(now, { kind: "added", suspicion: one });
    }
  }

  /** Suspects the answers that ended with their connection as a server did. */
  #suspectEnds(
    server: ServerRun,
    brokeAt: Instant,
  ): readonly CrashSuspicion[] {
    const ends = this.#unmarkedEnds.take(server, brokeAt);
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
  { id, start }: ServerRun,
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
