import {
  type BackendServerId,
  type ContentDigest,
  CrashBursts,
  type CrashSuspicion,
  type findCrashBlame,
  instant,
  RequestQuarantine,
  SURVIVAL_CHECKS,
  type SuspicionKey,
} from "@foxtailwind/core";
import type { CrashRequest } from "./crash_request.ts";
import type { CrashServer } from "./crash_server.ts";

/** A change of the suspicions, as the log holds it. */
export type SuspicionRecord =
  | { readonly kind: "added"; readonly suspicion: CrashSuspicion }
  | { readonly kind: "dropped"; readonly key: SuspicionKey };

/** Why calls break: their server ended, their node lost it, or only they did. */
export type BreakCause = "end" | "loss" | "reset";

/** What a node knows and does wrong on purpose. */
export interface CrashNodeRules {
  readonly findBlame?: typeof findCrashBlame;
  /** Whether served requests clear nothing. */
  readonly clearsNothing?: boolean;
  /** Whether suspicions are told to nobody. */
  readonly tellsNobody?: boolean;
  /** Which suspects are left out. */
  readonly ignores?: "parts" | "second_parts";
  /** Whether crashes that come at once count as one; `true` if omitted. */
  readonly countsBursts?: boolean;
  /** Whether parts are suspected before their server is known to have ended. */
  readonly suspectsUnsettled?: boolean;
  /** Whether a call that breaks alone counts as the end of its server. */
  readonly takesResetsForEnds?: boolean;
  /** Whether requests are sent although their part was named meanwhile. */
  readonly sendsLate?: boolean;
}

/** How long after a crash a suspicion is settled and written, in milliseconds. */
const SETTLE_MILLISECONDS = 220;
/** The delay between two attempts to reach the log. */
const RETRY_MILLISECONDS = 500;
/** The time that a call to the log takes each way. */
const LOG_MILLISECONDS = 15;

/** What a node needs of its world. */
export interface CrashNodeWorld {
  readonly now: number;
  readonly after: (delay: number, event: () => void) => void;
  readonly log: SuspicionRecord[];
  readonly isLogUp: () => boolean;
  /** Called when the log has grown. */
  readonly onAppended: () => void;
}

/** A node that tracks what crashes servers, in virtual time. */
export class CrashNode {
  readonly #world: CrashNodeWorld;
  readonly #rules: CrashNodeRules;
  #quarantine: RequestQuarantine;
  readonly #bursts = new CrashBursts();
  #unwritten: SuspicionRecord[] = [];
  #offset = 0;
  #life = 0;
  /** Whether the node can't reach the log. */
  isCut = false;
  isUp = true;
  /** The last time at which the node was killed, cut off or started. */
  lastDisrupted = -Infinity;

  constructor(world: CrashNodeWorld, rules: CrashNodeRules) {
    this.#world = world;
    this.#rules = rules;
    this.#quarantine = new RequestQuarantine(rules.findBlame);
  }

  /** Loses all that the node knows, and starts it again a second later. */
  kill(downtime: number): void {
    this.isUp = false;
    this.#life += 1;
    this.#unwritten = [];
    this.#offset = 0;
    this.#quarantine = new RequestQuarantine(this.#rules.findBlame);
    this.lastDisrupted = this.#world.now + downtime;
    this.#after(downtime, () => {
      this.isUp = true;
      this.readLog();
    });
  }

  /** Returns whether a request is refused. */
  refuses(request: CrashRequest): boolean {
    const now = instant(this.#world.now);
    return this.#contentsOf(request).some((content) =>
      this.#quarantine.remainingTime(now, content) !== undefined
    );
  }

  /** Returns whether a request is no longer sent when a server has room. */
  withholds(request: CrashRequest): boolean {
    return this.#rules.sendsLate !== true && this.refuses(request);
  }

  /** Records that a server begins to answer a request of this node. */
  recordBegun(request: CrashRequest, server: CrashServer): void {
    if (this.#rules.clearsNothing === true) return;
    const begunAt = instant(this.#world.now);
    const contents = this.#contentsOf(request);
    if (!this.#quarantine.hasSuspicions(begunAt, contents)) return;
    const { run } = server;
    for (const lasted of SURVIVAL_CHECKS) {
      this.#after(lasted, () => {
        if (server.run !== run) return;
        const dropped = this.#quarantine.recordSurvival(
          { begunAt, lasted },
          contents,
        );
        this.#write(dropped.map((key) => ({ kind: "dropped", key })));
      });
    }
  }

  /**
   * Records that a call of this node broke. A server that it can't reach is held
   * to have ended; one that answers it isn't.
   */
  recordBroken(
    suspicions: readonly CrashSuspicion[],
    cause: BreakCause,
  ): void {
    const { countsBursts, suspectsUnsettled, takesResetsForEnds } = this.#rules;
    if (cause === "reset" && takesResetsForEnds !== true) return;
    const known = suspicions.filter((one) => this.#isConsidered(one));
    const brokeAt = instant(this.#world.now);
    for (const one of known) {
      const isCounted = one.partPosition === undefined ||
        suspectsUnsettled === true;
      if (isCounted) this.#quarantine.addSuspicion(brokeAt, one);
    }
    this.#after(SETTLE_MILLISECONDS, () => {
      const settled = countsBursts === false
        ? known
        : this.#bursts.attribute(brokeAt, known);
      for (const one of settled) this.#quarantine.addSuspicion(brokeAt, one);
      this.#write(settled.map((suspicion) => ({ kind: "added", suspicion })));
    });
  }

  /** Records that a run of a server has written to the registry. */
  recordServerWrite(run: BackendServerId): void {
    if (!this.#isLogReached) return;
    const now = instant(this.#world.now);
    const dropped = this.#quarantine.recordServerWrite(now, run, undefined);
    this.#write(dropped.map((key) => ({ kind: "dropped", key })));
  }

  /** Reads what others have written, if the log can be reached. */
  readLog(): void {
    if (!this.#isLogReached) return;
    const records = this.#world.log.slice(this.#offset);
    this.#offset = this.#world.log.length;
    for (const record of records) {
      if (record.kind === "dropped") this.#quarantine.dropSuspicion(record.key);
      else {
        const now = instant(this.#world.now);
        this.#quarantine.addSuspicion(now, record.suspicion);
      }
    }
  }

  #write(records: readonly SuspicionRecord[]): void {
    if (this.#rules.tellsNobody === true || records.length === 0) return;
    this.#unwritten.push(...records);
    this.#flush();
  }

  #flush(): void {
    if (this.#unwritten.length === 0) return;
    if (!this.#isLogReached) {
      this.#after(RETRY_MILLISECONDS, () => {
        this.#flush();
      });
      return;
    }
    const written = this.#unwritten;
    this.#unwritten = [];
    this.#world.after(LOG_MILLISECONDS, () => {
      this.#world.log.push(...written);
      this.#world.onAppended();
    });
  }

  /** Plans an event that a kill of the node prevents. */
  #after(delay: number, event: () => void): void {
    const life = this.#life;
    this.#world.after(delay, () => {
      if (this.#life === life) event();
    });
  }

  #contentsOf({ suspects }: CrashRequest): readonly ContentDigest[] {
    return suspects.filter((one) => this.#isConsidered(one))
      .map(({ content }) => content);
  }

  #isConsidered({ partPosition }: { readonly partPosition?: number }): boolean {
    const { ignores } = this.#rules;
    if (ignores === "parts") return partPosition === undefined;
    return ignores !== "second_parts" || partPosition !== 1;
  }

  get #isLogReached(): boolean {
    return this.isUp && !this.isCut && this.#world.isLogUp();
  }
}
