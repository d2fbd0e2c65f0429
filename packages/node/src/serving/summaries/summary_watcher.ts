import {
  type EngineId,
  engineId,
  type NodeId,
  SummarisedEngineView,
} from "@foxtailwind/core";
import type { Vm } from "@foxtailwind/edges";
import {
  EngineSummariesClient,
  type EngineSummary,
} from "@foxtailwind/protocol";
import { type ClientReadableStream, credentials } from "@grpc/grpc-js";
import type { PeerChannels } from "../../peers/peer_channels.ts";
import type { VmDirectory } from "../../platform/vm_directory.ts";
import type { AdapterAggregates } from "../adapter_aggregates.ts";
import type { EngineViews } from "../engine_views.ts";
import { changesOf, fromSummaryMessage } from "./summary_messages.ts";

const RETRY_INTERVAL_MILLISECONDS = 500;

/** The dependencies of a {@link SummaryWatcher}. */
export interface SummaryWatcherParts {
  readonly self: NodeId;
  readonly directory: VmDirectory;
  readonly channels: PeerChannels;
  readonly aggregates: AdapterAggregates;
  readonly views: EngineViews;
  /** Checks whether this node itself controls an engine. */
  readonly isOwn: (engine: EngineId) => boolean;
}

interface NodeWatch {
  readonly stream: ClientReadableStream<EngineSummary>;
  readonly views: Map<EngineId, SummarisedEngineView>;
}

/** Maintains views of the engines that other nodes control. */
export class SummaryWatcher {
  readonly #parts: SummaryWatcherParts;
  readonly #watches = new Map<string, NodeWatch>();
  readonly #nodeByEngine = new Map<EngineId, string>();
  #timer: NodeJS.Timeout | undefined;

  /** @param parts The dependencies. */
  constructor(parts: SummaryWatcherParts) {
    this.#parts = parts;
  }

  /** Starts watching the live nodes. */
  start(): void {
    this.#watchLiveNodes();
    this.#timer = setInterval(() => {
      this.#watchLiveNodes();
    }, RETRY_INTERVAL_MILLISECONDS);
  }

  /** Stops watching. */
  stop(): void {
    clearInterval(this.#timer);
    for (const id of [...this.#watches.keys()]) this.#endWatch(id);
  }

  /**
   * Finds the node that claims to control an engine.
   * @param engine The engine.
   * @returns The node's id, or undefined.
   */
  nodeOf(engine: EngineId): string | undefined {
    return this.#nodeByEngine.get(engine);
  }

  /**
   * Finds the view of an engine.
   * @param engine The engine.
   * @returns The view, or undefined.
   */
  viewOf(engine: EngineId): SummarisedEngineView | undefined {
    const node = this.#nodeByEngine.get(engine);
    if (node === undefined) return undefined;
    return this.#watches.get(node)?.views.get(engine);
  }

  /**
   * Removes the view of an engine that this node takes over.
   * @param engine The engine.
   */
  removeEngine(engine: EngineId): void {
    for (const [node, watch] of this.#watches) {
      this.#removeView(node, watch, engine);
    }
  }

  #watchLiveNodes(): void {
    const live = this.#parts.directory.live("entry")
      .filter((vm) => vm.id !== this.#parts.self);
    const ids = new Set<string>(live.map((vm) => vm.id));
    for (const id of [...this.#watches.keys()]) {
      if (!ids.has(id)) this.#endWatch(id);
    }
    for (const vm of live) {
      if (!this.#watches.has(vm.id)) this.#startWatch(vm);
    }
  }

  #startWatch(vm: Vm): void {
    const address = vm.peerAddress ?? vm.address;
    const client = new EngineSummariesClient(
      address,
      credentials.createInsecure(),
      { channelOverride: this.#parts.channels.getChannel(address) },
    );
    const stream = client.watch({ node: this.#parts.self });
    const watch: NodeWatch = { stream, views: new Map() };
    this.#watches.set(vm.id, watch);
    stream.on("data", (message: EngineSummary) => {
      this.#receive(vm.id, watch, message);
    });
    const onLost = (): void => {
      if (this.#watches.get(vm.id) === watch) this.#endWatch(vm.id);
    };
    stream.on("error", onLost);
    stream.on("end", onLost);
  }

  #receive(node: string, watch: NodeWatch, message: EngineSummary): void {
    if (this.#watches.get(node) !== watch) return;
    const engine = engineId(message.engine);
    if (message.released) {
      this.#removeView(node, watch, engine);
      return;
    }
    if (this.#parts.isOwn(engine)) return;
    const summary = fromSummaryMessage(message);
    const known = watch.views.get(engine);
    const view = known ??
      new SummarisedEngineView(summary, this.#parts.aggregates.index);
    watch.views.set(engine, view);
    if (message.whole) view.clear();
    view.update(summary, changesOf(message));
    this.#nodeByEngine.set(engine, node);
    this.#parts.views.put(view);
  }

  #endWatch(node: string): void {
    const watch = this.#watches.get(node);
    if (watch === undefined) return;
    this.#watches.delete(node);
    watch.stream.on("error", ignore);
    watch.stream.cancel();
    for (const engine of [...watch.views.keys()]) {
      this.#removeView(node, watch, engine);
    }
  }

  #removeView(node: string, watch: NodeWatch, engine: EngineId): void {
    const view = watch.views.get(engine);
    if (view === undefined) return;
    watch.views.delete(engine);
    view.clear();
    this.#parts.views.remove(view);
    if (this.#nodeByEngine.get(engine) === node) {
      this.#nodeByEngine.delete(engine);
    }
  }
}

function ignore(): void {
  // The error results from cancelling the stream.
}
