import {
  type AdapterName,
  EngineSlots,
  type EngineTerms,
  type Instant,
  later,
  milliseconds,
  type ModelId,
  type OrderRight,
  PROMPT_PACE,
  type RegisteredServer,
  type SlotOrder,
} from "@foxtailwind/core";
import type { EngineDigest } from "@foxtailwind/protocol";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type {
  EngineControl,
  EngineOrder,
  OrderResult,
} from "./engine_control.ts";
import type { Knowledge } from "./knowledge.ts";
import type { RelaySettings } from "./relay_settings.ts";

/** The use of an adapter that is asked for. */
export interface UseRequest {
  readonly model: ModelId;
  readonly adapter?: AdapterName["adapter"];
  readonly minimumVersion: number;
  readonly promptTokens: number;
}

/** What an owner answers to a request for use. */
export type UseAnswer =
  | {
    readonly kind: "granted";
    /** 0 where the engine has not told it, or for the base model. */
    readonly version: number;
    /** Ends the use. */
    readonly release: () => void;
  }
  | { readonly kind: "not_owner" }
  | { readonly kind: "no_room" };

/** What an owner works with. */
export interface EngineOwnerParts {
  readonly settings: RelaySettings;
  readonly knowledge: Knowledge;
  readonly control: EngineControl;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
}

interface Waiter {
  readonly name: AdapterName;
  readonly request: UseRequest;
  readonly answer: (answer: UseAnswer) => void;
}

/** Reads after a conflict wait so long: reports lag by some 100 ms. */
const REPORT_LAG = milliseconds(250);
/** Between two questions whether a load has ended. */
const LOAD_POLL = milliseconds(20);
/** Between two orders to load a base model. */
const MODEL_PAUSE = milliseconds(2_500);
/** How often an order is sent while no answer comes. */
const MOST_COPIES = 5;
/** Conflicts in a row after which the engine is asked what it holds. */
const CONFLICTS_TO_REPORT = 2;
/** Calls without an answer in a row after which an engine is out of reach. */
const SILENT_CALLS = 4;
/**
 * The share of an engine's places that is used: above it, its own queue
 * begins to hold requests back, and the next ones wait better elsewhere.
 */
const FULL_SHARE = 0.8;
/**
 * Running requests delay a new one by the square of their number, a quarter
 * of a millisecond each: little while an engine has time to spare, and more
 * than a load elsewhere once it is behind its peers.
 */
const CROWDING = 0.25;

/** Orders one engine while this node has the right to. */
export class EngineOwner {
  readonly #parts: EngineOwnerParts;
  readonly #slots: EngineSlots;
  readonly #waiters = new Set<Waiter>();
  #server: RegisteredServer;
  #orderCount: number | undefined;
  #models: readonly ModelId[];
  #conflicts = 0;
  #running = 0;
  #promptsUntil = 0;
  #modelOrderedAt: Instant | undefined;
  #pauseUntil: Instant | undefined;
  #timer: NodeJS.Timeout | undefined;
  #silentCalls = 0;
  #isPumping = false;
  #isStopped = false;

  /**
   * @param server The engine.
   * @param terms What it can hold.
   * @param parts What the owner works with.
   */
  constructor(
    server: RegisteredServer,
    terms: EngineTerms,
    parts: EngineOwnerParts,
  ) {
    this.#server = server;
    this.#parts = parts;
    this.#models = server.models.map((held) => held.model);
    this.#slots = new EngineSlots({
      slots: terms.adapterSlots,
      transfers: parts.settings.engines.transfers,
      kept: parts.settings.engines.kept_adapters,
    });
  }

  /**
   * Takes a newer description of the engine.
   * @param server The engine.
   */
  update(server: RegisteredServer): void {
    this.#server = server;
    void this.pump();
  }

  /** What other nodes are told of the engine. */
  get digest(): EngineDigest {
    const slots = this.#slots.slots;
    return {
      engine: this.#server.id,
      waitMilliseconds: this.#wait(),
      room: this.#slots.room(this.#now()),
      isReachable: this.#isReachable(),
      isFull: this.#isFull(),
      adapters: slots.filter((slot) => slot.state !== "leaving").map((
        slot,
      ) => ({
        model: slot.model,
        adapter: slot.adapter,
        version: slot.version,
        isLoading: slot.state === "loading",
      })),
    };
  }

  /**
   * Asks for the use of an adapter or of a base model.
   * @param request What is to be used.
   * @param signal Ends the wait.
   * @returns The answer.
   */
  use(request: UseRequest, signal: AbortSignal): Promise<UseAnswer> {
    if (this.#isStopped) return Promise.resolve({ kind: "not_owner" });
    if (!this.#isReachable() || this.#isFull()) {
      return Promise.resolve({ kind: "no_room" });
    }
    if (request.adapter === undefined) {
      return Promise.resolve(this.#grant(request, undefined, 0));
    }
    const name = { model: request.model, adapter: request.adapter };
    const { minimumVersion } = request;
    const version = this.#slots.use(this.#now(), name, minimumVersion);
    if (version !== undefined) {
      return Promise.resolve(this.#grant(request, name, version));
    }
    if (!this.#isExpected(name) && !this.#slots.canTake(this.#now(), name)) {
      return Promise.resolve({ kind: "no_room" });
    }
    return this.#await(name, request, signal);
  }

  /** Gives up the engine: nobody waits here any more. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    for (const waiter of this.#waiters) waiter.answer({ kind: "not_owner" });
    this.#waiters.clear();
  }

  /** Carries out what is due; answered by itself when more becomes due. */
  async pump(): Promise<void> {
    if (this.#isPumping) return;
    this.#isPumping = true;
    try {
      while (!this.#isStopped && await this.#step());
    } finally {
      this.#isPumping = false;
    }
  }

  /** One step; whether another one may follow at once. */
  async #step(): Promise<boolean> {
    const now = this.#now();
    const right = this.#parts.knowledge.claims.right(this.#server.id);
    if (right === undefined) return false;
    const from = Math.max(right.from, this.#pauseUntil ?? 0) as Instant;
    if (from > now) return this.#wakeAt(from);
    if (this.#orderCount === undefined) return await this.#readReport();
    if (this.#models.length === 0) return await this.#loadModel(now, right);
    const checked = await this.#checkLoads(now, right);
    if (checked) return true;
    const order = this.#slots.nextOrder(now);
    if (order !== undefined) {
      await this.#carryOut(order, right);
      return true;
    }
    if (this.#slots.waiting > 0) this.#wakeAt(later(now, LOAD_POLL));
    return false;
  }

  async #readReport(): Promise<boolean> {
    const report = await this.#parts.control.report(this.#server);
    const now = this.#now();
    this.#heard(report.isOk());
    if (report.isErr()) {
      this.#parts.logger.warn("An engine gave no report.", {
        engine: this.#server.id,
        detail: report.error.message,
      });
      return this.#wakeAt(later(now, REPORT_LAG));
    }
    const { models, adapters, incoming, orderCount, isBusy } = report.value;
    if (isBusy) return this.#wakeAt(later(now, REPORT_LAG));
    this.#models = models;
    this.#orderCount = orderCount;
    this.#conflicts = 0;
    this.#slots.reported(now, adapters, incoming);
    this.#serveWaiters();
    return true;
  }

  async #loadModel(now: Instant, right: OrderRight): Promise<boolean> {
    const service = this.#parts.knowledge.routes?.service(this.#server.service);
    const model = service?.engine?.models[0]?.model;
    if (model === undefined) return false;
    const earliest = this.#modelOrderedAt === undefined
      ? now
      : later(this.#modelOrderedAt, MODEL_PAUSE);
    if (earliest > now) {
      this.#orderCount = undefined;
      this.#pauseUntil = later(now, REPORT_LAG);
      return true;
    }
    this.#modelOrderedAt = now;
    const result = await this.#sendOrder({ kind: "load", model }, right);
    this.#logOrder("load", model, undefined, result);
    this.#orderCount = undefined;
    this.#pauseUntil = later(this.#now(), REPORT_LAG);
    return true;
  }

  /** Asks whether loads that should have ended have; one at a time. */
  async #checkLoads(now: Instant, right: OrderRight): Promise<boolean> {
    const due = this.#slots.nextCheck();
    if (due === undefined) return false;
    if (due.at > now) {
      this.#wakeAt(due.at);
      return false;
    }
    const { name } = due;
    const version = this.#slots.find(name)?.version ?? 0;
    const result = await this.#send({ kind: "load", name, version }, right);
    this.#logOrder("check", name.model, name.adapter, result);
    this.#takeCheck(name, result);
    return true;
  }

  #takeCheck(name: AdapterName, result: OrderResult): void {
    const now = this.#now();
    switch (result.kind) {
      case "holds":
        this.#conflicts = 0;
        this.#slots.loaded(now, name);
        this.#serveWaiters();
        break;
      case "conflict":
        this.#slots.checkAgain(now, name, LOAD_POLL);
        this.#noteConflict();
        break;
      case "accepted":
      case "unknown":
        this.#slots.checkAgain(now, name, LOAD_POLL);
        break;
      case "fenced":
      case "misdirected":
      case "invalid":
        this.#takeTrouble(result);
    }
  }

  async #carryOut(order: SlotOrder, right: OrderRight): Promise<void> {
    const result = await this.#sendUntilAnswered(order, right);
    const now = this.#now();
    switch (result.kind) {
      case "holds":
      case "accepted":
        this.#conflicts = 0;
        this.#slots.answered(now, order, result.kind);
        if (this.#orderCount !== undefined) this.#orderCount += 1;
        this.#serveWaiters();
        break;
      case "conflict":
        this.#slots.answered(now, order, "conflict");
        this.#noteConflict();
        break;
      case "unknown":
        this.#slots.answered(now, order, "unknown");
        this.#askAgain();
        break;
      case "fenced":
      case "misdirected":
      case "invalid":
        this.#takeTrouble(result);
    }
  }

  /**
   * Sends an order, and again while no answer comes. All copies expect the
   * same number of orders before them, so that one at most is carried out,
   * however late.
   */
  async #sendUntilAnswered(
    order: SlotOrder,
    right: OrderRight,
  ): Promise<OrderResult> {
    let result: OrderResult = { kind: "unknown" };
    for (let sends = 0; sends < MOST_COPIES; sends += 1) {
      const isCopy = sends > 0;
      result = await this.#send(order, right);
      this.#heard(result.kind !== "unknown");
      this.#logOrder(order.kind, order.name.model, order.name.adapter, result);
      // An earlier copy may be what the engine counts as another order.
      if (isCopy && result.kind === "conflict") return { kind: "unknown" };
      if (result.kind !== "unknown" || this.#isStopped) return result;
    }
    return result;
  }

  /** After some conflicts in a row, the count of orders must be wrong. */
  #noteConflict(): void {
    this.#conflicts += 1;
    if (this.#conflicts >= CONFLICTS_TO_REPORT) this.#askAgain();
  }

  /** Trusts nothing that is known until the engine has reported. */
  #askAgain(): void {
    this.#orderCount = undefined;
    this.#pauseUntil = later(this.#now(), REPORT_LAG);
  }

  #takeTrouble(result: OrderResult): void {
    const { knowledge, logger } = this.#parts;
    const engine = this.#server.id;
    if (result.kind === "fenced") {
      const right = knowledge.claims.right(engine);
      if (right !== undefined) knowledge.fenced(engine, right.fence);
    } else if (result.kind === "misdirected") {
      knowledge.registry.replaced(engine);
      this.stop();
    } else {
      const detail = result.kind === "invalid"
        ? result.failure.message
        : result.kind;
      logger.error("An engine did not take an order.", { engine, detail });
      this.#askAgain();
    }
  }

  #send(order: SlotOrder, right: OrderRight): Promise<OrderResult> {
    const { model, adapter } = order.name;
    const version = order.kind === "load" ? order.version : 0;
    return this.#sendOrder({
      kind: order.kind,
      model,
      adapter,
      ...(version === 0 ? {} : { version }),
    }, right);
  }

  #sendOrder(
    order: Pick<EngineOrder, "kind" | "model" | "adapter" | "version">,
    right: OrderRight,
  ): Promise<OrderResult> {
    const { control, settings } = this.#parts;
    return control.order(this.#server, {
      ...order,
      owner: settings.node.id,
      fence: right.fence,
      expectedOrders: this.#orderCount ?? 0,
    });
  }

  #grant(
    request: UseRequest,
    name: AdapterName | undefined,
    version: number,
  ): UseAnswer {
    const now = this.#now();
    this.#running += 1;
    this.#promptsUntil = Math.max(now, this.#promptsUntil) +
      request.promptTokens / PROMPT_PACE;
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this.#running -= 1;
      if (name !== undefined) this.#slots.release(this.#now(), name);
      if (this.#slots.waiting > 0) void this.pump();
    };
    return { kind: "granted", version, release };
  }

  #await(
    name: AdapterName,
    request: UseRequest,
    signal: AbortSignal,
  ): Promise<UseAnswer> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        name,
        request,
        answer: (answer) => {
          this.#waiters.delete(waiter);
          signal.removeEventListener("abort", leave);
          resolve(answer);
        },
      };
      const leave = () => {
        waiter.answer({ kind: "no_room" });
        if (!this.#isAwaited(name)) this.#slots.forgetWish(name);
      };
      signal.addEventListener("abort", leave, { once: true });
      this.#waiters.add(waiter);
      this.#slots.want(this.#now(), name, request.minimumVersion);
      void this.pump();
    });
  }

  #serveWaiters(): void {
    const now = this.#now();
    for (const waiter of this.#waiters) {
      const { name, request } = waiter;
      const version = this.#slots.use(now, name, request.minimumVersion);
      if (version === undefined) continue;
      this.#slots.forgetWish(name);
      waiter.answer(this.#grant(request, name, version));
    }
  }

  #isExpected(name: AdapterName): boolean {
    return this.#slots.find(name)?.state === "loading" || this.#isAwaited(name);
  }

  #isAwaited(name: AdapterName): boolean {
    return [...this.#waiters].some((waiter) =>
      waiter.name.adapter === name.adapter && waiter.name.model === name.model
    );
  }

  /** Takes note of an answer, or of its absence. */
  #heard(hasAnswered: boolean): void {
    this.#silentCalls = hasAnswered ? 0 : this.#silentCalls + 1;
    if (this.#silentCalls !== SILENT_CALLS) return;
    this.#parts.logger.warn("An engine is out of its owner's reach.", {
      engine: this.#server.id,
      waiting: this.#waiters.size,
    });
    for (const waiter of this.#waiters) waiter.answer({ kind: "no_room" });
  }

  #isReachable(): boolean {
    return this.#silentCalls < SILENT_CALLS;
  }

  #isFull(): boolean {
    return this.#running >= this.#server.slots * FULL_SHARE;
  }

  #wait(): number {
    const prompts = Math.max(0, this.#promptsUntil - this.#now());
    return Math.round(prompts + CROWDING * this.#running ** 2);
  }

  #wakeAt(at: Instant): false {
    clearTimeout(this.#timer);
    const delay = Math.max(1, at - this.#now());
    this.#timer = setTimeout(() => void this.pump(), delay);
    return false;
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }

  #logOrder(
    kind: string,
    model: ModelId,
    adapter: AdapterName["adapter"] | undefined,
    result: OrderResult,
  ): void {
    this.#parts.logger.debug("An order was answered.", {
      engine: this.#server.id,
      kind,
      model,
      adapter,
      expected: this.#orderCount,
      answer: result.kind,
    });
  }
}
