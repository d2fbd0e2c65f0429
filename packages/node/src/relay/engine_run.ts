import {
  type AdapterName,
  EngineMemory,
  EngineSlots,
  type EngineSpecification,
  type ExpectedLoad,
  hasPlaceAfterLoad,
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
import { buildEngineDigest } from "./engine_digest.ts";
import { encodeDuration } from "./encoded_numbers.ts";
import { EngineLoads } from "./engine_loads.ts";
import { EngineModel } from "./engine_model.ts";
import { EngineOrders } from "./engine_orders.ts";
import type { EngineRunParts } from "./engine_owner_parts.ts";
import { handleOrderRejection } from "./order_rejection.ts";
import { LOAD_CHECK_INTERVAL, OrderResults } from "./order_results.ts";
import type { UseAnswer, UseRequest } from "./engine_use.ts";
import { encodeStart } from "./start_message.ts";
import { StepLoop } from "./step_loop.ts";

/**
 * An owner that may send orders within this time, about that of a load, counts
 * as able to order.
 */
const ORDER_WAIT_LIMIT = milliseconds(250);

/** An owner's state of one start of its engine, and the orders sent to it. */
export class EngineRun {
  readonly #parts: EngineRunParts;
  readonly #slots: EngineSlots;
  readonly #loads: EngineLoads;
  readonly #orders: EngineOrders;
  readonly #results: OrderResults;
  readonly #model: EngineModel;
  readonly #loop: StepLoop;
  readonly #uses: AdapterUses;
  readonly #reportTrigger = new ReportTrigger();
  /** Unanswered loads of this start, whose slots are known while it lasts. */
  #unansweredLoads = new UnansweredLoads();
  #server: RegisteredServer;
  /** The requested uses that are neither granted nor refused yet. */
  #waiting = 0;
  #isUnfitLogged = false;

  /**
   * @param server The engine.
   * @param specification The engine's capacity.
   * @param parts The dependencies.
   */
  constructor(
    server: RegisteredServer,
    specification: EngineSpecification,
    parts: EngineRunParts,
  ) {
    this.#server = server;
    this.#parts = parts;
    this.#loop = new StepLoop(parts.clock, () => this.#step());
    const { engines, node } = parts.settings;
    const memory = new EngineMemory(() =>
      parts.knowledge.routes?.service(server.service)?.engine ?? specification
    );
    this.#slots = new EngineSlots(
      {
        slots: specification.adapterSlots,
        memory,
        concurrentLoads: engines.transfers,
        cachedAdapters: engines.kept_adapters,
      },
      parts.knowledge.cachedAdapters.recentOf(server.id, parts.start()),
    );
    this.#loads = new EngineLoads(server.id, this.#slots, parts);
    this.#uses = new AdapterUses(this.#slots, {
      clock: parts.clock,
      record: parts.knowledge.admissions,
      start: parts.start,
      places: () => this.#server.slots,
      canOrderSoon: () => this.#canOrderSoon(),
      onChange: () => void this.runDueSteps(),
    });
    this.#orders = new EngineOrders(server, {
      self: node.id,
      control: parts.control,
      logger: parts.logger,
      acceptsReport: parts.acceptsReport,
      onLoadUnanswered: (expected) => {
        this.#unansweredLoads.add(this.#now(), expected);
      },
      onUnreachable: () => {
        this.#uses.refuseWaiting();
      },
    });
    this.#results = new OrderResults({
      slots: this.#slots,
      loads: this.#loads,
      uses: this.#uses,
      orders: this.#orders,
      reportTrigger: this.#reportTrigger,
      reject: (rejection, permission) =>
        handleOrderRejection(parts, server.id, rejection, permission),
      stop: () => {
        this.stop();
      },
    });
    this.#model = new EngineModel(server, this.#orders, {
      memory,
      logger: parts.logger,
    });
  }

  /**
   * Updates the engine's registry entry.
   * @param server The engine.
   */
  update(server: RegisteredServer): void {
    this.#server = server;
    this.#orders.update(server);
    void this.runDueSteps();
  }

  /** The digest of the engine that is sent to other nodes. */
  get digest(): EngineDigest {
    const now = this.#now();
    return buildEngineDigest(this.#server, this.#slots, {
      start: encodeStart(this.#parts.start()),
      waitMilliseconds: encodeDuration(this.#uses.expectedWait(now)),
      room: this.#canOrderSoon() ? this.#slots.availableSlots(now) : 0,
      isReachable: this.#orders.isReachable,
      running: this.#uses.occupancy.running,
      isFull: this.#isFull(),
    });
  }

  /**
   * Returns the load of an adapter as expected from earlier ones.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @returns Its source and time.
   */
  expectedLoad(name: AdapterName, minimumVersion: number): ExpectedLoad {
    const { loadTimes } = this.#slots;
    const source = loadTimes.sourceOf(name, minimumVersion);
    return { source, time: loadTimes.estimateFrom(source) };
  }

  /**
   * Requests the use of an adapter or a base model.
   * @param request The requested use.
   * @param signal Cancels the request.
   * @returns The answer.
   */
  async requestUse(
    request: UseRequest,
    signal: AbortSignal,
  ): Promise<UseAnswer> {
    if (this.#loop.isStopped) return { kind: "not_owner" };
    if (!this.#orders.isReachable) return { kind: "no_room" };
    // A request that waits for any place joins the queue for its adapter.
    const joinsQueue = request.queueing?.onlyInTime === false;
    const { model, adapter, minimumVersion } = request;
    if (adapter !== undefined) this.#logUnfit({ model, adapter });
    if (!joinsQueue && adapter !== undefined) {
      const name = { model, adapter };
      if (!this.#hasPlaceFor(name)) {
        const retryAfter = this.#slots.loadTime(name, minimumVersion);
        return { kind: "no_room", retryAfter };
      }
    }
    this.#waiting += 1;
    try {
      return await this.#uses.requestUse(request, signal);
    } finally {
      this.#waiting -= 1;
    }
  }

  /** Logs once that the engine has no memory for an adapter. */
  #logUnfit(name: AdapterName): void {
    if (this.#isUnfitLogged || this.#slots.canHold(name)) return;
    this.#isUnfitLogged = true;
    this.#parts.logger.error("An adapter doesn't fit on an engine.", {
      engine: this.#server.id,
      ...name,
    });
  }

  /** Whether the adapter is loaded, or there is a place once it is. */
  #hasPlaceFor(name: AdapterName): boolean {
    if (this.#slots.find(name)?.state === "resident") return true;
    return hasPlaceAfterLoad({
      places: this.#server.slots,
      running: this.#uses.occupancy.running,
      waiting: this.#waiting,
    });
  }

  /** Records that the engine lacked an adapter or model in a granted use. */
  recordMiss(): void {
    const now = this.#now();
    if (!this.#reportTrigger.recordMiss(now)) return;
    this.#results.scheduleReport(now);
    void this.runDueSteps();
  }

  /** Stops sending orders and refuses waiting requests. */
  stop(): void {
    const { earlierUnansweredLoads } = this.#parts;
    if (!this.#loop.isStopped) {
      earlierUnansweredLoads.merge(this.#unansweredLoads);
    }
    this.#unansweredLoads = earlierUnansweredLoads;
    this.#loop.stop();
    this.#orders.stop();
    this.#uses.stop();
  }

  /** Ends all uses and refuses waiting requests because the start is over. */
  end(): void {
    this.#uses.end();
    this.stop();
  }

  /** Runs the steps that are due; later ones are scheduled automatically. */
  async runDueSteps(): Promise<void> {
    await this.#loop.run();
  }

  /** Runs one step; returns whether another one may follow at once. */
  async #step(): Promise<boolean> {
    const now = this.#now();
    const permission = this.#parts.knowledge.claims.orderPermission(
      this.#server.id,
    );
    if (permission === undefined) return false;
    const reportDueAt = this.#reportTrigger.dueAt ?? now;
    if (reportDueAt > now) return this.#loop.wakeAt(reportDueAt);
    // Loaded adapters may be reported and used before orders may be sent.
    if (!this.#orders.hasCount) return await this.#readReport();
    this.#reserveSlots(now);
    if (permission.validFrom > now) {
      return this.#loop.wakeAt(permission.validFrom);
    }
    if (!this.#model.isLoaded) return await this.#loadModel(now, permission);
    if (await this.#checkLoad(now, permission)) return true;
    for (const name of this.#slots.cancelLateLoadRequests(now)) {
      this.#uses.refuseWaitersOf(name);
    }
    const order = this.#slots.nextOrder(now);
    if (order !== undefined) {
      await this.#execute(order, permission);
      return true;
    }
    if (this.#slots.pendingLoads > 0) {
      this.#loop.wakeAt(later(now, LOAD_CHECK_INTERVAL));
    }
    return false;
  }

  /** Reserves slots for loads from earlier starts that may still arrive. */
  #reserveSlots(now: Instant): void {
    const { earlierUnansweredLoads } = this.#parts;
    this.#slots.reserve(
      earlierUnansweredLoads.reservedSlots(now, this.#orders.count),
    );
  }

  async #readReport(): Promise<boolean> {
    const report = await this.#orders.readReport();
    if (this.#loop.isStopped) return false;
    const now = this.#now();
    if (report === undefined) {
      return this.#loop.wakeAt(later(now, REPORT_DELAY));
    }
    this.#model.applyReport(report.models);
    this.#reportTrigger.recordAgreement();
    this.#slots.applyReport(now, report.adapters, report.incoming);
    this.#uses.grantLoadedAdapters();
    return true;
  }

  async #loadModel(
    now: Instant,
    permission: OrderPermission,
  ): Promise<boolean> {
    const isConfigured = await this.#model.load(now, permission);
    if (isConfigured) this.#results.scheduleReport(this.#now());
    return isConfigured;
  }

  /** Checks whether a load that should be done is done; one at a time. */
  async #checkLoad(
    now: Instant,
    permission: OrderPermission,
  ): Promise<boolean> {
    const due = this.#slots.nextLoadCheck();
    if (due === undefined) return false;
    if (due.at > now) {
      this.#loop.wakeAt(due.at);
      return false;
    }
    const { name } = due;
    const version = this.#slots.find(name)?.version ?? 0;
    // The check of a load that named no version would load a newer one.
    const { versions } = this.#parts.knowledge;
    const newest = versions.newest(name.model, name.adapter);
    if (version < newest && !this.#slots.canReplace(name)) {
      this.#results.scheduleReport(now);
      return true;
    }
    const order = { kind: "load", name, version } as const;
    const result = await this.#orders.checkLoad(order, permission);
    if (!this.#loop.isStopped) {
      this.#results.applyLoadCheck(this.#now(), name, result, permission);
    }
    return true;
  }

  async #execute(order: SlotOrder, permission: OrderPermission): Promise<void> {
    const result = await this.#orders.execute(order, permission);
    // A late answer doesn't apply to a new start or a new owner.
    if (this.#loop.isStopped) return;
    this.#results.applyOrder(this.#now(), order, result, permission);
  }

  #isFull(): boolean {
    return this.#uses.occupancy.isFull(this.#server.slots);
  }

  /** Whether orders may be sent now, or within about the time of a load. */
  #canOrderSoon(): boolean {
    const permission = this.#parts.knowledge.claims.orderPermission(
      this.#server.id,
    );
    return permission !== undefined &&
      permission.validFrom - this.#now() < ORDER_WAIT_LIMIT;
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
