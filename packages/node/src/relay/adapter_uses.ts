import {
  type AdapterName,
  EngineOccupancy,
  type EngineSlots,
  type Instant,
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

/** Grants uses of one engine's adapters, and keeps those who wait for one. */
export class AdapterUses {
  readonly occupancy = new EngineOccupancy();
  readonly #slots: EngineSlots;
  readonly #parts: AdapterUsesParts;
  readonly #waiters = new AdapterWaiters();
  readonly #running = new Set<AbortController>();

  /**
   * @param slots The engine's adapters.
   * @param parts What grants work with.
   */
  constructor(slots: EngineSlots, parts: AdapterUsesParts) {
    this.#slots = slots;
    this.#parts = parts;
  }

  /**
   * Asks for a use, and waits where the adapter has to be brought.
   * @param request What is to be used.
   * @param signal Ends the wait.
   * @returns The answer.
   */
  async ask(request: UseRequest, signal: AbortSignal): Promise<UseAnswer> {
    if (request.adapter === undefined) {
      return this.#grant(request, undefined, 0);
    }
    const name = { model: request.model, adapter: request.adapter };
    const { minimumVersion } = request;
    const version = this.#slots.use(this.#now(), name, minimumVersion);
    if (version !== undefined) return this.#grant(request, name, version);
    const isExpected = this.#isExpected(name);
    if (!isExpected && !this.#slots.canTake(this.#now(), name)) {
      return { kind: "no_room" };
    }
    if (!this.#parts.ordersSoon()) return { kind: "no_room" };
    this.#slots.want(this.#now(), name, minimumVersion);
    const answer = this.#waiters.add(name, request, signal, () => {
      if (!this.#waiters.has(name)) this.#slots.forgetWish(name);
    });
    this.#parts.changed();
    return await answer;
  }

  /** Grants the uses whose adapters have come. */
  serveWaiters(): void {
    const now = this.#now();
    for (const { name, request, answer } of this.#waiters.all) {
      const version = this.#slots.use(now, name, request.minimumVersion);
      if (version === undefined) continue;
      this.#slots.forgetWish(name);
      answer(this.#grant(request, name, version));
    }
  }

  /** Answers those who wait that there is no room, and forgets their wishes. */
  sendWaitersAway(): void {
    for (const { name } of this.#waiters.all) this.#slots.forgetWish(name);
    this.#waiters.answerAll({ kind: "no_room" });
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
  }

  #grant(
    request: UseRequest,
    name: AdapterName | undefined,
    version: number,
  ): UseAnswer {
    this.occupancy.begin(this.#now(), request.promptTokens);
    const over = new AbortController();
    this.#running.add(over);
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this.#running.delete(over);
      this.occupancy.end();
      if (name !== undefined) this.#slots.release(this.#now(), name);
      if (this.#slots.waiting > 0) this.#parts.changed();
    };
    return {
      kind: "granted",
      version,
      start: this.#parts.start(),
      over: over.signal,
      release,
    };
  }

  #isExpected(name: AdapterName): boolean {
    return this.#slots.find(name)?.state === "loading" ||
      this.#waiters.has(name);
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
