import {
  type BackendServerId,
  type CrashSuspicion,
  type Duration,
  elapsed,
  type EndedCall,
  type HeldCall,
  type HeldSuspicions,
  later,
  milliseconds,
  type ProbeOutcome,
  type RegisteredServer,
  type RunSigns,
  type ServerLoad,
} from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { ComponentLogger } from "../../logging/component_logger.ts";
import type { Knowledge } from "../knowledge.ts";

/**
 * How long after a broken call it is settled whether its server has ended:
 * within this time, a server that still runs has sent bytes of other answers.
 */
export const SETTLE_DELAY = milliseconds(200);
/** Bytes that a server sent before it ended may be read this long after. */
const LATE_BYTES_ALLOWANCE = milliseconds(60);

/** A call that was broken off on the server's side. */
export interface BrokenCall {
  readonly server: RegisteredServer;
  readonly load: Pick<ServerLoad, "lastBytesAt">;
  /** Whether other connections to the server are open. */
  readonly isConnected: () => boolean;
  /** Opens a connection to the server for a moment, in bounded time. */
  readonly probe: () => Promise<ProbeOutcome>;
  /** The time from the answer's first bytes to its end, if any came. */
  readonly ranFor: Duration | undefined;
}

/** What follows from what is known of the end of a server's run. */
export interface RunEndListener {
  /** Called when a server's address refuses connections, before it is settled. */
  readonly onRefused: (call: HeldCall) => void;
  /** Called when it is settled that the run has ended. */
  readonly onEnded: (ended: EndedCall) => void;
  /** Called when it is settled that the server is alive. */
  readonly onAlive: (call: HeldCall) => void;
}

/** The dependencies of {@link RunEndFinder}. */
export interface RunEndFinderParts {
  readonly held: HeldSuspicions;
  readonly knowledge: Pick<Knowledge, "registry" | "workCounts">;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  readonly listener: RunEndListener;
}

/** The probes of one server: one in progress, and one that is to follow. */
interface Probes {
  readonly current: Promise<ProbeOutcome>;
  next?: Promise<ProbeOutcome>;
}

/**
 * Finds out whether servers that broke off calls have ended. Where nothing else
 * tells it, the server is probed: at once, so that an end is known before the
 * request is sent to another server, and again as the call is settled if the
 * first probe was accepted and reset, as the last ones of a dying process are.
 */
export class RunEndFinder {
  readonly #parts: RunEndFinderParts;
  readonly #probes = new Map<BackendServerId, Probes>();
  readonly #calls = new WeakMap<HeldCall, BrokenCall>();
  #isStopped = false;

  /** @param parts The dependencies. */
  constructor(parts: RunEndFinderParts) {
    this.#parts = parts;
  }

  /**
   * Records a call that was broken off on the server's side.
   * @param call The call.
   * @param suspicions What of its request may have ended the server, if it may.
   */
  recordBrokenCall(
    call: BrokenCall,
    suspicions: readonly CrashSuspicion[],
  ): void {
    const { held, clock, knowledge } = this.#parts;
    const { server } = call;
    const heldCall: HeldCall = {
      server,
      brokeAt: clock.now(),
      wasRegistered: knowledge.registry.find(server.id) !== undefined,
      suspicions,
    };
    held.add(heldCall);
    if (suspicions.length === 0) return;
    this.#calls.set(heldCall, call);
    const firstProbe = call.isConnected()
      ? undefined
      : this.#probeAtOnce(call, heldCall);
    setTimeout(() => {
      afterPendingInput(() => {
        void this.#settle(heldCall, call, firstProbe);
      });
    }, SETTLE_DELAY);
  }

  /** Applies what the registry and the servers' answers tell by now. */
  refresh(): void {
    const { held, clock } = this.#parts;
    held.recordHeard(clock.now(), (call) => this.#hasSentBytes(call));
    this.applyRegistry();
  }

  /** Applies what the registry tells by now. */
  applyRegistry(): void {
    const { held, clock, knowledge, listener } = this.#parts;
    if (!held.holdsCalls) return;
    const servers = knowledge.registry.all;
    for (const ended of held.applyRegistry(clock.now(), servers)) {
      listener.onEnded(ended);
    }
  }

  /** Settles no more calls. */
  stop(): void {
    this.#isStopped = true;
  }

  async #probeAtOnce(
    call: BrokenCall,
    heldCall: HeldCall,
  ): Promise<ProbeOutcome> {
    const outcome = await this.#probe(call);
    if (outcome === "refused" && !this.#isStopped) {
      this.#parts.listener.onRefused(heldCall);
    }
    return outcome;
  }

  async #settle(
    heldCall: HeldCall,
    call: BrokenCall,
    firstProbe: Promise<ProbeOutcome> | undefined,
  ): Promise<void> {
    const { held, clock, listener } = this.#parts;
    let verdict = held.judge(heldCall, this.#signs(heldCall, undefined));
    if (verdict.kind === "unknown") {
      const first = await firstProbe;
      const isFinal = first !== undefined && first !== "reset";
      const probe = isFinal ? first : await this.#probe(call);
      const signs = this.#signs(heldCall, probe);
      verdict = held.judge(heldCall, {
        ...signs,
        wasSilent: first === "reset",
      });
    }
    // The registry may have told of its end meanwhile.
    if (this.#isStopped || !held.isSettling(heldCall)) return;
    held.settle(clock.now(), heldCall, verdict);
    if (verdict.kind === "ended") {
      listener.onEnded({ call: heldCall, evidence: verdict.evidence });
      return;
    }
    if (verdict.kind === "alive") listener.onAlive(heldCall);
    this.applyRegistry();
  }

  #signs(heldCall: HeldCall, probe: ProbeOutcome | undefined): RunSigns {
    const isConnected = this.#calls.get(heldCall)?.isConnected() === true;
    return { isHeard: isConnected || this.#hasSentBytes(heldCall), probe };
  }

  #hasSentBytes(heldCall: HeldCall): boolean {
    const lastBytesAt = this.#calls.get(heldCall)?.load.lastBytesAt;
    return lastBytesAt !== undefined &&
      lastBytesAt > later(heldCall.brokeAt, LATE_BYTES_ALLOWANCE);
  }

  /** Probes a server, after a probe that is in progress. */
  #probe(call: BrokenCall): Promise<ProbeOutcome> {
    const { id } = call.server;
    const running = this.#probes.get(id);
    if (running !== undefined) {
      running.next ??= running.current.then(() => this.#startProbe(call));
      return running.next;
    }
    return this.#startProbe(call);
  }

  #startProbe(call: BrokenCall): Promise<ProbeOutcome> {
    const { id } = call.server;
    const probes: Probes = { current: this.#runProbe(call) };
    this.#probes.set(id, probes);
    void probes.current.then(() => {
      const isLast = probes.next === undefined &&
        this.#probes.get(id) === probes;
      if (isLast) this.#probes.delete(id);
    });
    return probes.current;
  }

  async #runProbe({ server, probe }: BrokenCall): Promise<ProbeOutcome> {
    const { clock, knowledge, logger } = this.#parts;
    const begunAt = clock.now();
    const outcome = await probe();
    knowledge.workCounts.increment(`probe_${outcome}`);
    logger.info("A server that broke off a call was probed.", {
      server: server.id,
      start: server.start,
      outcome,
      took: Math.round(elapsed(begunAt, clock.now())),
    });
    return outcome;
  }
}
