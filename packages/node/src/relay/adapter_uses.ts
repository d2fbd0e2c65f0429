import {
  type AdapterName,
  type Duration,
  EngineOccupancy,
  type EngineSlots,
  type Instant,
  later,
  milliseconds,
  PrefillQueue,
  type ServerStart,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { AdapterWaiters } from "./adapter_waiters.ts";
import type { UseAnswer, UseRequest } from "./engine_use.ts";

/** What grants of uses work with. */
export interface AdapterUsesParts {
  readonly clock: SteadyClock;
  /** The start of the engine, if it is known. */
  readonly start: () => ServerStart | undefined;
  /** Whether orders to the engine may go before long. */
  readonly ordersSoon: () => boolean;
  /** Called where more may have to be ordered. */
  readonly changed: () => void;
}

/** A request whose adapter is there, and whose prompt waits to be read. */
interface Turn {
  /** Left out for the base model itself. */
  readonly name: AdapterName | undefined;
  readonly version: number;
  readonly answer: (answer: UseAnswer) => void;
}

/**
 * Grants uses of one engine's adapters, and keeps those who wait for one: for
 * the adapter first, then for the engine to read the prompt.
 */
export class AdapterUses {
  readonly occupancy = new EngineOccupancy();
  readonly #slots: EngineSlots;
  readonly #parts: AdapterUsesParts;
  readonly #waiters = new AdapterWaiters();
  readonly #turns = new PrefillQueue<Turn>();
  readonly #running = new Set<AbortController>();
  #turnTimer: NodeJS.Timeout | undefined;

  /**
   * @param slots The engine's adapters.
   * @param parts What grants work with.
   */
  constructor(slots: EngineSlots, parts: AdapterUsesParts) {
    this.#slots = slots;
    this.#parts = parts;
  }

  /**
   * Estimates the wait of a further request until its prompt is read.
   * @param now The present time.
   * @returns The time.
   */
  wait(now: Instant): Duration {
    const wait = this.#turns.wait(now) + this.occupancy.contentionDelay;
    return milliseconds(Math.round(wait));
  }

  /**
   * Asks for a use, and waits where the adapter has to be brought or other
   * prompts are read before.
   * @param request What is to be used.
   * @param signal Ends the wait.
   * @returns The answer.
   */
  async ask(request: UseRequest, signal: AbortSignal): Promise<UseAnswer> {
    if (request.adapter === undefined) {
      return await this.#waitForTurn(request, undefined, 0, signal);
    }
    const name = { model: request.model, adapter: request.adapter };
    const { minimumVersion } = request;
    const version = this.#slots.acquire(this.#now(), name, minimumVersion);
    if (version !== undefined) {
      return await this.#waitForTurn(request, name, version, signal);
    }
    const isExpected = this.#isExpected(name);
    if (!isExpected && !this.#slots.canLoad(this.#now(), name)) {
      return { kind: "no_room" };
    }
    if (!this.#parts.ordersSoon()) return { kind: "no_room" };
    this.#slots.requestLoad(this.#now(), name, minimumVersion);
    const answer = this.#waiters.add(name, request, signal, () => {
      if (!this.#waiters.has(name)) this.#slots.cancelLoadRequest(name);
    });
    this.#parts.changed();
    return await answer;
  }

  /** Lets those wait for their turn whose adapters have come. */
  serveWaiters(): void {
    const now = this.#now();
    for (const { name, request, signal, answer } of this.#waiters.all) {
      const version = this.#slots.acquire(now, name, request.minimumVersion);
      if (version === undefined) continue;
      this.#slots.cancelLoadRequest(name);
      answer(this.#waitForTurn(request, name, version, signal));
    }
  }

  /** Answers those who wait that there is no room, and forgets their wishes. */
  sendWaitersAway(): void {
    for (const { name } of this.#waiters.all) {
      this.#slots.cancelLoadRequest(name);
    }
    this.#waiters.answerAll({ kind: "no_room" });
    this.#endTurns({ kind: "no_room" });
  }

  /** Ends with the engine's start: who waits may ask for the next one. */
  end(): void {
    this.sendWaitersAway();
    for (const over of this.#running) over.abort();
    this.#running.clear();
  }

  /** Tells all who wait that this node owns the engine no more. */
  stop(): void {
    this.#waiters.answerAll({ kind: "not_owner" });
    this.#endTurns({ kind: "not_owner" });
  }

  /** Waits until the prompt may be read; the adapter is in use meanwhile. */
  #waitForTurn(
    request: UseRequest,
    name: AdapterName | undefined,
    version: number,
    signal: AbortSignal,
  ): Promise<UseAnswer> {
    return new Promise((resolve) => {
      const leave = () => {
        if (!this.#turns.delete(turn)) return;
        this.#endUse(name);
        resolve({ kind: "no_room" });
      };
      const turn: Turn = {
        name,
        version,
        answer: (answer) => {
          signal.removeEventListener("abort", leave);
          resolve(answer);
        },
      };
      const now = this.#now();
      this.#turns.add(turn, {
        prefillTime: request.reading,
        deadline: later(now, request.timeLeft),
        needsBreak: request.needsBreak,
      });
      signal.addEventListener("abort", leave, { once: true });
      if (signal.aborted) leave();
      this.#takeTurns();
    });
  }

  /** Grants the uses whose prompts may be read now, and returns for the next. */
  #takeTurns(): void {
    for (;;) {
      const turn = this.#turns.next(this.#now());
      if (turn === undefined) break;
      turn.answer(this.#grant(turn));
    }
    clearTimeout(this.#turnTimer);
    const at = this.#turns.nextAt;
    if (at === undefined) return;
    this.#turnTimer = setTimeout(() => {
      this.#takeTurns();
    }, Math.max(1, at - this.#now()));
  }

  #endTurns(answer: Exclude<UseAnswer, { kind: "granted" }>): void {
    clearTimeout(this.#turnTimer);
    for (const turn of this.#turns.waiting) {
      this.#turns.delete(turn);
      this.#endUse(turn.name);
      turn.answer(answer);
    }
  }

  #grant({ name, version }: Turn): UseAnswer {
    this.occupancy.begin();
    const over = new AbortController();
    this.#running.add(over);
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this.#running.delete(over);
      this.occupancy.end();
      this.#endUse(name);
    };
    return {
      kind: "granted",
      version,
      start: this.#parts.start(),
      over: over.signal,
      release,
    };
  }

  #endUse(name: AdapterName | undefined): void {
    if (name !== undefined) this.#slots.release(this.#now(), name);
    if (this.#slots.pendingLoads > 0) this.#parts.changed();
  }

  #isExpected(name: AdapterName): boolean {
    return this.#slots.find(name)?.state === "loading" ||
      this.#waiters.has(name);
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
