import {
  type AdapterName,
  EngineSlots,
  type EngineSpecification,
  type Instant,
  later,
  milliseconds,
  type OrderPermission,
  type RegisteredServer,
  REPORT_DELAY,
  ReportTrigger,
  type SlotOrder,
  UnansweredLoads,
} from "@foxtailwind/core";
import type { EngineDigest } from "@foxtailwind/protocol";
import { AdapterUses } from "./adapter_uses.ts";
import type { OrderResult, OrderTrouble } from "./engine_control.ts";
import { writeEngineDigest } from "./engine_digest.ts";
import { EngineModel } from "./engine_model.ts";
import { EngineOrders } from "./engine_orders.ts";
import type { EngineRunParts } from "./engine_owner_parts.ts";
import { takeTrouble } from "./engine_trouble.ts";
import type { UseAnswer, UseRequest } from "./engine_use.ts";
import { writeStart } from "./start_message.ts";
import { StepLoop } from "./step_loop.ts";

/** Between two questions whether a load has ended. */
const LOAD_POLL = milliseconds(20);
/** An owner whose orders may go within a load's time counts as able to order. */
const SOON = milliseconds(250);

/** What an engine's owner knows and orders at one start of the engine. */
export class EngineRun {
  readonly #parts: EngineRunParts;
  readonly #slots: EngineSlots;
  readonly #orders: EngineOrders;
  readonly #model: EngineModel;
  readonly #loop: StepLoop;
  readonly #uses: AdapterUses;
  readonly #doubt = new ReportTrigger();
  /** Loads of this start; their slots are known while it lasts. */
  #unanswered = new UnansweredLoads();
  #server: RegisteredServer;

  /**
   * @param server The engine.
   * @param terms What it can hold.
   * @param parts What the owner works with.
   */
  constructor(
    server: RegisteredServer,
    terms: EngineSpecification,
    parts: EngineRunParts,
  ) {
    this.#server = server;
    this.#parts = parts;
    this.#loop = new StepLoop(parts.clock, () => this.#step());
    const { engines, node } = parts.settings;
    this.#slots = new EngineSlots({
      slots: terms.adapterSlots,
      concurrentLoads: engines.transfers,
      cachedAdapters: engines.kept_adapters,
    });
    this.#uses = new AdapterUses(this.#slots, {
      clock: parts.clock,
      start: parts.start,
      ordersSoon: () => this.#ordersSoon(),
      changed: () => void this.pump(),
    });
    this.#orders = new EngineOrders(server, {
      self: node.id,
      control: parts.control,
      logger: parts.logger,
      isBelieved: parts.isBelieved,
      loadUnanswered: (expected) => {
        this.#unanswered.add(this.#now(), expected);
      },
      fellSilent: () => {
        this.#uses.sendWaitersAway();
      },
    });
    this.#model = new EngineModel(server, parts.knowledge, this.#orders);
  }

  /**
   * Takes a newer description of the engine.
   * @param server The engine.
   */
  update(server: RegisteredServer): void {
    this.#server = server;
    this.#orders.update(server);
    void this.pump();
  }

  /** What other nodes are told of the engine. */
  get digest(): EngineDigest {
    const now = this.#now();
    return writeEngineDigest(this.#server, this.#slots.slots, {
      start: writeStart(this.#parts.start()),
      waitMilliseconds: this.#uses.wait(now),
      room: this.#ordersSoon() ? this.#slots.availableSlots(now) : 0,
      isReachable: this.#orders.isReachable,
      running: this.#uses.occupancy.running,
      isFull: this.#isFull(),
    });
  }

  /**
   * Asks for the use of an adapter or of a base model.
   * @param request What is to be used.
   * @param signal Ends the wait.
   * @returns The answer.
   */
  async use(request: UseRequest, signal: AbortSignal): Promise<UseAnswer> {
    if (this.#loop.isStopped) return { kind: "not_owner" };
    if (this.#isFull() || !this.#orders.isReachable) return { kind: "no_room" };
    return await this.#uses.ask(request, signal);
  }

  /** Takes note that the engine lacked what a use was granted of. */
  missed(): void {
    if (!this.#doubt.recordMiss(this.#now())) return;
    this.#askAgain();
    void this.pump();
  }

  /** Gives up the engine: nobody waits here any more. */
  stop(): void {
    const { lateOrders } = this.#parts;
    if (!this.#loop.isStopped) lateOrders.merge(this.#unanswered);
    this.#unanswered = lateOrders;
    this.#loop.stop();
    this.#orders.stop();
    this.#uses.stop();
  }

  /** Ends with the start: who waits is sent away, and uses end. */
  end(): void {
    this.#uses.end();
    this.stop();
  }

  /** Carries out what is due; called by itself when more becomes due. */
  async pump(): Promise<void> {
    await this.#loop.run();
  }

  /** One step; whether another one may follow at once. */
  async #step(): Promise<boolean> {
    const now = this.#now();
    const right = this.#parts.knowledge.claims.orderPermission(this.#server.id);
    if (right === undefined) return false;
    const askFrom = this.#doubt.dueAt ?? now;
    if (askFrom > now) return this.#loop.wakeAt(askFrom);
    // What the engine holds may be used, and asked for, before orders may go.
    if (!this.#orders.isCounted) return await this.#readReport();
    this.#keepSlotsFree(now);
    if (right.validFrom > now) return this.#loop.wakeAt(right.validFrom);
    if (!this.#model.isThere) return await this.#loadModel(now, right);
    if (await this.#askAfterLoads(now, right)) return true;
    const order = this.#slots.nextOrder(now);
    if (order !== undefined) {
      await this.#carryOut(order, right);
      return true;
    }
    if (this.#slots.pendingLoads > 0) this.#loop.wakeAt(later(now, LOAD_POLL));
    return false;
  }

  /** Keeps slots for what was ordered of an earlier start and may come. */
  #keepSlotsFree(now: Instant): void {
    const { lateOrders } = this.#parts;
    this.#slots.reserve(lateOrders.reservedSlots(now, this.#orders.count));
  }

  async #readReport(): Promise<boolean> {
    const report = await this.#orders.report();
    if (this.#loop.isStopped) return false;
    const now = this.#now();
    if (report === undefined) {
      return this.#loop.wakeAt(later(now, REPORT_DELAY));
    }
    this.#model.reported(report.models);
    this.#doubt.recordAgreement();
    this.#slots.applyReport(now, report.adapters, report.incoming);
    this.#uses.serveWaiters();
    return true;
  }

  async #loadModel(now: Instant, right: OrderPermission): Promise<boolean> {
    const isWanted = await this.#model.load(now, right);
    if (isWanted) this.#askAgain();
    return isWanted;
  }

  /** Asks whether a load that should have ended has; one at a time. */
  async #askAfterLoads(now: Instant, right: OrderPermission): Promise<boolean> {
    const due = this.#slots.nextLoadCheck();
    if (due === undefined) return false;
    if (due.at > now) {
      this.#loop.wakeAt(due.at);
      return false;
    }
    const { name } = due;
    const version = this.#slots.find(name)?.version ?? 0;
    const order = { kind: "load", name, version } as const;
    this.#takeLoadState(name, await this.#orders.ask(order, right), right);
    return true;
  }

  #takeLoadState(
    name: AdapterName,
    result: OrderResult,
    right: OrderPermission,
  ): void {
    if (this.#loop.isStopped) return;
    const now = this.#now();
    switch (result.kind) {
      case "holds":
        this.#doubt.recordAgreement();
        this.#slots.markLoaded(now, name);
        this.#uses.serveWaiters();
        break;
      case "conflict":
        this.#slots.postponeLoadCheck(now, name, LOAD_POLL);
        if (this.#doubt.recordConflict()) this.#askAgain();
        break;
      case "accepted":
      case "unknown":
        this.#slots.postponeLoadCheck(now, name, LOAD_POLL);
        break;
      case "fenced":
      case "misdirected":
      case "invalid":
        this.#takeTrouble(result, right);
    }
  }

  async #carryOut(order: SlotOrder, right: OrderPermission): Promise<void> {
    const result = await this.#orders.carryOut(order, right);
    // A late answer says nothing of what came after: a new start, or owner.
    if (this.#loop.isStopped) return;
    const now = this.#now();
    switch (result.kind) {
      case "holds":
      case "accepted":
        this.#doubt.recordAgreement();
        this.#slots.applyAnswer(now, order, result.kind);
        this.#orders.accepted();
        break;
      case "conflict":
        this.#slots.applyAnswer(now, order, "conflict");
        if (this.#doubt.recordConflict()) this.#askAgain();
        break;
      case "unknown":
        this.#slots.applyAnswer(now, order, "unknown");
        this.#askAgain();
        break;
      case "fenced":
      case "misdirected":
      case "invalid":
        this.#takeTrouble(result, right);
    }
  }

  /** Trusts nothing that is known until the engine has reported. */
  #askAgain(): void {
    this.#orders.forgetCount();
    this.#doubt.schedule(this.#now());
  }

  #takeTrouble(result: OrderTrouble, right: OrderPermission): void {
    const step = takeTrouble(this.#parts, this.#server.id, result, right);
    if (step === "stop") this.stop();
    if (step === "ask_again") this.#askAgain();
  }

  #isFull(): boolean {
    return this.#uses.occupancy.isFull(this.#server.slots);
  }

  /** Whether orders may go now, or as soon as a load takes anyway. */
  #ordersSoon(): boolean {
    const right = this.#parts.knowledge.claims.orderPermission(this.#server.id);
    return right !== undefined && right.validFrom - this.#now() < SOON;
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
