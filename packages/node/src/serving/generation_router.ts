import {
  adapterKey,
  type AdapterReference,
  attemptNumber,
  type EngineController,
  type EngineId,
  engineId,
  later,
  milliseconds,
  type ModelId,
  type NodeId,
  nodeId,
  type RequestObserver,
  type RouteChoice,
} from "@foxtailwind/core";
import type {
  EngineClient,
  GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import { err } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { CrashMemory } from "../crashes/mod.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { PeerClients } from "../peers/peer_clients.ts";
import type { VmDirectory, VmOfRole } from "../platform/vm_directory.ts";
import type { AdapterAggregates } from "./adapter_aggregates.ts";
import type { EngineAssignment } from "./engine_assignment.ts";
import { EngineRunners } from "./engine_runners.ts";
import { EngineViews } from "./engine_views.ts";
import { toQueuedRequest } from "./generation_estimates.ts";
import type { GenerationRequest } from "./generation_request.ts";
import type { OrderAuthorizer } from "./order_authorizer.ts";
import type { LoadPermits } from "./permits/load_permits.ts";
import {
  callerLeftFailure,
  noEngineFailure,
  targetUnreachableFailure,
  unroutableFailure,
} from "./routing_failures.ts";
import { UnplacedRequests } from "./unplaced_requests.ts";
import { SummaryWatcher } from "./summaries/summary_watcher.ts";

/** The dependencies of a {@link GenerationRouter}. */
export interface GenerationRouterParts {
  readonly self: NodeId;
  readonly directory: VmDirectory;
  readonly peers: PeerClients;
  readonly channels: PeerChannels;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  readonly observer: RequestObserver;
  readonly orderAuthorizer: OrderAuthorizer;
  readonly assignment: EngineAssignment;
  readonly permits: LoadPermits;
  readonly aggregates: AdapterAggregates;
  readonly crashes: CrashMemory;
  readonly engineClient: (vm: VmOfRole<"engine">) => EngineClient;
}

/** Sends each request to the controller of the engine chosen to run it. */
export class GenerationRouter {
  readonly #parts: GenerationRouterParts;
  readonly #views: EngineViews;
  readonly #runners: EngineRunners;
  readonly #summaryWatcher: SummaryWatcher;
  readonly #unplacedRequests: UnplacedRequests;

  /** @param parts The dependencies. */
  constructor(parts: GenerationRouterParts) {
    this.#parts = parts;
    this.#views = new EngineViews(parts.directory);
    this.#summaryWatcher = new SummaryWatcher({
      ...parts,
      views: this.#views,
      isOwn: (engine) => this.#runners.find(engine) !== undefined,
    });
    this.#runners = new EngineRunners({
      ...parts,
      views: this.#views,
      beforeStart: (engine) => {
        this.#summaryWatcher.removeEngine(engine);
      },
    });
    this.#unplacedRequests = new UnplacedRequests(parts.clock, {
      place: (generation, sink) => this.#place(generation, sink),
      onExpired: (generation, sink) => {
        sink.onEnd(err(noEngineFailure(this.#parts.self, generation.model)));
      },
      onCancelled: (sink) => {
        sink.onEnd(err(callerLeftFailure(parts.self)));
      },
    });
    parts.assignment.onChange(() => {
      this.#applyAssignment();
    });
  }

  /** The controllers of the engines that accept connections. */
  get reachableControllers(): Iterable<EngineController> {
    return this.#runners.reachable;
  }

  /** The controllers of the engines that this node controls. */
  get controllers(): Iterable<EngineController> {
    return this.#runners.controllers;
  }

  /** Starts watching the engines that other nodes control. */
  start(): void {
    this.#summaryWatcher.start();
  }

  /**
   * Routes a caller's request. If no engine can accept it, as while a
   * controller changes, it waits for a short time within its target.
   * @param generation The request.
   * @param sink Receives the answer.
   * @returns The handle of the generation.
   */
  route(
    generation: GenerationRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const placed = this.#place(generation, sink);
    if (placed !== undefined) return placed;
    const { clock, directory } = this.#parts;
    const hasEngine = directory.live("engine")
      .some((vm) => vm.role.model === generation.model);
    if (!hasEngine) {
      sink.onEnd(err(noEngineFailure(this.#parts.self, generation.model)));
      return FINISHED_HANDLE;
    }
    const wait = Math.min(
      generation.firstTokenTarget,
      MAXIMUM_UNPLACED_MILLISECONDS,
    );
    return this.#unplacedRequests.add(
      generation,
      sink,
      later(clock.now(), milliseconds(wait)),
    );
  }

  /**
   * Queues a request at an engine that this node controls.
   * @param engine The engine.
   * @param generation The request.
   * @param sink Receives the answer.
   * @returns The handle of the generation.
   */
  runHere(
    engine: EngineId,
    generation: GenerationRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const runner = this.#runners.find(engine);
    if (runner === undefined) {
      sink.onEnd(
        err(
          unroutableFailure(
            this.#parts.self,
            `Engine ${engine} is not held here.`,
          ),
        ),
      );
      return FINISHED_HANDLE;
    }
    return runner.submit(generation, sink);
  }

  /**
   * Starts controlling an engine: reads its state and accepts requests for it.
   * @param vm The engine's VM.
   */
  async startControlling(vm: VmOfRole<"engine">): Promise<void> {
    await this.#runners.start(vm);
  }

  /**
   * Stops controlling an engine. Requests in progress continue on this node;
   * waiting ones are routed again, to the engine's next controller or another
   * engine.
   * @param engine The engine.
   */
  stopControlling(engine: EngineId): void {
    for (const { generation, sink } of this.#runners.stop(engine)) {
      this.route(generation, sink);
    }
  }

  /**
   * Finds the node that controls the home engine of an adapter.
   * @param model The adapter's model.
   * @param adapter The adapter and version.
   * @returns The node, or undefined if no engine runs the model.
   */
  likelyController(
    model: ModelId,
    adapter: AdapterReference,
  ): NodeId | undefined {
    const views = this.#views.running(model);
    const { router } = this.#parts.aggregates;
    const [home] = router.homes(adapterKey(adapter), views);
    return home === undefined ? undefined : this.#controllerOf(home.engine);
  }

  /** Stops controlling all engines. */
  stop(): void {
    this.#unplacedRequests.stop();
    this.#summaryWatcher.stop();
    this.#runners.stopAll();
  }

  #place(
    generation: GenerationRequest,
    sink: GenerationSink,
  ): GenerationHandle | undefined {
    const { aggregates, clock } = this.#parts;
    const now = clock.now();
    const choice = aggregates.router.route(
      now,
      toQueuedRequest(now, generation),
      this.#views.running(generation.model),
    );
    switch (choice.kind) {
      case "engine":
        return this.#send(generation, sink, choice);
      case "refuse":
        sink.onEnd(
          err(targetUnreachableFailure(this.#parts.self, choice.retryAfter)),
        );
        return FINISHED_HANDLE;
      case "no_engine":
        return undefined;
    }
  }

  #send(
    generation: GenerationRequest,
    sink: GenerationSink,
    choice: Extract<RouteChoice, { readonly kind: "engine" }>,
  ): GenerationHandle {
    const { engine, reason } = choice;
    const { aggregates, clock, observer, peers, self } = this.#parts;
    const now = clock.now();
    const node = this.#controllerOf(engine) ?? self;
    observer.record(now, {
      kind: "routed",
      request: generation.request,
      attempt: generation.attempt ?? attemptNumber(1),
      engine,
      node,
      reason,
    });
    if (node === self) return this.runHere(engine, generation, sink);
    const peer = this.#parts.directory.live("entry")
      .find((vm) => vm.id === node);
    if (peer === undefined) {
      sink.onEnd(
        err(unroutableFailure(this.#parts.self, `Node ${node} is gone.`)),
      );
      return FINISHED_HANDLE;
    }
    const { adapter, firstTokenTarget } = generation;
    const key = adapterKey(adapter);
    this.#summaryWatcher.viewOf(engine)?.recordSent(key);
    const arrival = { key, adapter, target: firstTokenTarget };
    aggregates.demand.recordArrival(now, arrival);
    return peers.generate(peer, { engine, generation, now }, sink);
  }

  #controllerOf(engine: EngineId): NodeId | undefined {
    if (this.#runners.find(engine) !== undefined) return this.#parts.self;
    const node = this.#summaryWatcher.nodeOf(engine);
    if (node !== undefined) return nodeId(node);
    return this.#parts.assignment.controllerOf(engine);
  }

  #applyAssignment(): void {
    const { assignment, directory, self } = this.#parts;
    for (const vm of directory.live("engine")) {
      const engine = engineId(vm.id);
      const isAssignedHere = assignment.controllerOf(engine) === self;
      const isControlledHere = this.#runners.find(engine) !== undefined;
      if (isAssignedHere && !isControlledHere) void this.startControlling(vm);
      if (!isAssignedHere && isControlledHere) this.stopControlling(engine);
    }
  }
}

/** The longest expected duration of a change of an engine's controller. */
const MAXIMUM_UNPLACED_MILLISECONDS = 2_000;

const FINISHED_HANDLE: GenerationHandle = {
  pause() {},
  unpause() {},
  cancel() {},
};
