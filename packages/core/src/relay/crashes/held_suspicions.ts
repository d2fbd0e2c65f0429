import {
  elapsed,
  type Instant,
  isDifferentStart,
  later,
  milliseconds,
} from "../../shared/mod.ts";
import type { RegisteredServer, ServerRun } from "../registry/mod.ts";
import { startKey } from "../registry/start_history.ts";
import type { CrashSuspicion } from "./crash_suspicion.ts";

/** What a connection that was opened to a server has shown. */
export type ProbeOutcome =
  /** The server accepted it and kept it open. */
  | "accepted"
  /** Nothing listens at the server's address. */
  | "refused"
  /** The server reset it at once, as one does that has too many. */
  | "reset"
  /** Nothing came back in time. */
  | "unanswered";

/** Why the run of a server is known to have ended. */
export type EndEvidence =
  /** Its address refuses connections. */
  | "refused"
  /** Several connections to it broke at once, and it takes no others. */
  | "connections"
  /** The registry names another start, or another server at its address. */
  | "restarted"
  /** The registry has removed it. */
  | "removed";

/** Whether the run of a server that broke off a call has ended. */
export type RunVerdict =
  | {
    readonly kind: "alive";
    /** Whether it took no connections before, as while it starts again. */
    readonly wasSilent?: true;
  }
  | { readonly kind: "ended"; readonly evidence: EndEvidence }
  | { readonly kind: "unknown" };

/** What a node has seen of a server since it broke off a call. */
export interface RunSigns {
  /** Whether bytes of other answers have come, or other connections are open. */
  readonly isHeard: boolean;
  /** The outcome of a probe that began after the call broke, if there was one. */
  readonly probe: ProbeOutcome | undefined;
  /** Whether an earlier probe since then was not accepted. */
  readonly wasSilent?: boolean;
}

/** A call that was broken off on the server's side. */
export interface HeldCall {
  readonly server: Pick<RegisteredServer, "id" | "start" | "address">;
  readonly brokeAt: Instant;
  /**
   * Whether the registry had the server as the call broke. One that leaves may
   * be removed sooner than it ends.
   */
  readonly wasRegistered: boolean;
  /** What of its request is suspected of having ended the server. */
  readonly suspicions: readonly CrashSuspicion[];
}

/** A call whose server's run has ended. */
export interface EndedCall {
  readonly call: HeldCall;
  readonly evidence: EndEvidence;
}

/** The state of a held call, and until when it is kept. */
interface Holding {
  /** A settled call only tells that a connection broke. */
  readonly state: "settling" | "unknown" | "alive" | "settled";
  readonly until: Instant;
}

/** Calls that break within this time of one another break at once. */
const AT_ONCE = milliseconds(200);
/** How long a call may take to be settled, with the time that a probe takes. */
const SETTLING_TIME = milliseconds(3_000);
/**
 * How long the registry may take to show that a run has ended whose server took
 * no connections when it was asked first.
 */
const UNKNOWN_TIME = milliseconds(10_000);
/**
 * How long the registry may take to name another start of a server that seemed
 * alive: it may have ended and listened again before it was asked.
 */
const RESTART_NOTICE_TIME = milliseconds(2_000);
/** The maximum number of calls held; the oldest are dropped first. */
const MAXIMUM_HELD_CALLS = 1_000;

/**
 * Holds the suspicions of broken calls back until it is known whether the run of
 * their server has ended.
 *
 * Handles this load: many servers reset single connections and run on, while a
 * third of all requests share a part of their prompts. A reset of one connection
 * is no evidence: neither against that part nor against anything else.
 */
export class HeldSuspicions {
  readonly #calls = new Map<HeldCall, Holding>();

  /** Whether any call is held, be it of a server that seems alive. */
  get holdsCalls(): boolean {
    return this.#calls.size > 0;
  }

  /** Whether no call is held whose server may have ended. */
  get isEmpty(): boolean {
    return ![...this.#calls.values()].some(isOpen);
  }

  /**
   * Determines whether a run of a server may have ended.
   * @param run The run.
   * @returns Whether a call is held that it broke off, and it isn't known to be
   * alive.
   */
  mayHaveEnded({ id, start }: ServerRun): boolean {
    const run = startKey(id, start);
    return [...this.#calls].some(([{ server }, holding]) =>
      isOpen(holding) && startKey(server.id, server.start) === run
    );
  }

  /**
   * Holds a call that has broken.
   * @param call The call; without suspicions if it can't have ended the server.
   */
  add(call: HeldCall): void {
    this.#expire(call.brokeAt);
    const until = later(call.brokeAt, SETTLING_TIME);
    const state = call.suspicions.length === 0 ? "settled" : "settling";
    this.#calls.set(call, { state, until });
    for (const oldest of this.#calls.keys()) {
      if (this.#calls.size <= MAXIMUM_HELD_CALLS) return;
      this.#calls.delete(oldest);
    }
  }

  /**
   * Checks whether a call is not settled yet.
   * @param call The call.
   * @returns Whether it is held without a verdict.
   */
  isSettling(call: HeldCall): boolean {
    return this.#calls.get(call)?.state === "settling";
  }

  /**
   * Judges whether the run of a call's server has ended, without a change.
   * @param call The held call.
   * @param signs What was seen of the server since.
   * @returns The verdict.
   */
  judge(call: HeldCall, { isHeard, probe, wasSilent }: RunSigns): RunVerdict {
    if (isHeard || probe === "accepted") {
      return { kind: "alive", ...(wasSilent === true && { wasSilent }) };
    }
    if (probe === "refused") return { kind: "ended", evidence: "refused" };
    return probe !== undefined && this.#brokeWithOthers(call)
      ? { kind: "ended", evidence: "connections" }
      : { kind: "unknown" };
  }

  /**
   * Records the verdict on a call. Its suspicions are held no longer if its run
   * has ended, and otherwise for as long as the registry may yet show that.
   * @param now The present time.
   * @param call The call.
   * @param verdict The verdict.
   */
  settle(now: Instant, call: HeldCall, verdict: RunVerdict): void {
    const { kind } = verdict;
    const holding = this.#calls.get(call);
    if (holding === undefined) return;
    if (kind === "ended") {
      this.#calls.set(call, { ...holding, state: "settled" });
      return;
    }
    const isSure = kind === "alive" && verdict.wasSilent !== true;
    const time = isSure ? RESTART_NOTICE_TIME : UNKNOWN_TIME;
    this.#calls.set(call, { state: kind, until: later(now, time) });
  }

  /**
   * Records that bytes of servers arrived whose runs may have ended.
   * @param now The present time.
   * @param isHeard Tells whether any arrived from a call's server since.
   */
  recordHeard(now: Instant, isHeard: (call: HeldCall) => boolean): void {
    for (const [call, { state }] of this.#calls) {
      if (state === "unknown" && isHeard(call)) {
        this.settle(now, call, { kind: "alive", wasSilent: true });
      }
    }
  }

  /**
   * Applies the registry: runs have ended whose server has another start or is
   * gone.
   * @param now The present time.
   * @param servers The registered servers.
   * @returns The calls whose runs have ended; they are held no longer.
   */
  applyRegistry(
    now: Instant,
    servers: readonly RegisteredServer[],
  ): readonly EndedCall[] {
    this.#expire(now);
    if (this.#calls.size === 0) return [];
    const byId = new Map(servers.map((server) => [server.id, server]));
    const byAddress = new Map(servers.map((one) => [one.address, one.id]));
    const ended: EndedCall[] = [];
    for (const [call, { state }] of this.#calls) {
      if (state === "settled") continue;
      const { server: { id, start, address }, wasRegistered } = call;
      const known = byId.get(id);
      const isRestarted = isDifferentStart(start, known?.start) ||
        (byAddress.get(address) ?? id) !== id;
      if (isRestarted) ended.push({ call, evidence: "restarted" });
      else if (known === undefined && wasRegistered && state === "unknown") {
        ended.push({ call, evidence: "removed" });
      }
    }
    for (const { call, evidence } of ended) {
      this.settle(now, call, { kind: "ended", evidence });
    }
    return ended;
  }

  #expire(now: Instant): void {
    for (const [call, { until }] of this.#calls) {
      if (now >= until) this.#calls.delete(call);
    }
  }

  #brokeWithOthers(call: HeldCall): boolean {
    const { server: { id, start }, brokeAt } = call;
    const run = startKey(id, start);
    return [...this.#calls.keys()].some((other) =>
      other !== call && startKey(other.server.id, other.server.start) === run &&
      Math.abs(elapsed(brokeAt, other.brokeAt)) <= AT_ONCE
    );
  }
}

function isOpen({ state }: Holding): boolean {
  return state === "settling" || state === "unknown";
}
