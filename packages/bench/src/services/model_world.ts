import {
  type BackendServerId,
  backendServerId,
  failureDomainId,
  type LatencyTarget,
  type RandomSource,
  randomSource,
  requestId,
  type ServicePolicy,
  type ServiceServerView,
} from "@foxtailwind/core";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { type CallEnd, ModelNode } from "./model_node.ts";
import { ModelServer } from "./model_server.ts";
import { Timeline } from "./timeline.ts";

/** The size of a world. */
export interface ModelWorldSize {
  readonly seed: number;
  readonly nodes: number;
  readonly servers: number;
  readonly domains: number;
  readonly workers: number;
  readonly meanMilliseconds: number;
  readonly target: LatencyTarget;
  readonly policy: ServicePolicy;
}

/** What came of one call. */
export interface CallReport {
  readonly id: ReturnType<typeof requestId>;
  readonly repeatable: boolean;
  readonly milliseconds: number;
  readonly end: CallEnd;
}

/** How long after a change the VM list shows it. */
export const LIST_LAG_MILLISECONDS = 1_000;

/** Nodes before the servers of one service, in virtual time. */
export class ModelWorld {
  readonly timeline = new Timeline();
  readonly random: RandomSource;
  readonly nodes: readonly ModelNode[];
  readonly servers: ReadonlyMap<BackendServerId, ModelServer>;
  readonly #views = new Map<BackendServerId, ServiceServerView>();
  #calls = 0;

  /** @param size The size, the seed and the policy. */
  constructor(size: ModelWorldSize) {
    this.random = randomSource(size.seed);
    this.servers = this.#makeServers(size);
    const { timeline, servers } = this;
    const { policy, target } = size;
    this.nodes = Array.from(
      { length: size.nodes },
      (_, index) =>
        new ModelNode({
          timeline,
          servers,
          policy,
          target,
          failureDomain: failureDomainId(`domain-${index % size.domains}`),
          random: randomSource(size.seed * 1_000 + index),
        }),
    );
    this.publishList();
  }

  /** Tells all nodes what the list now shows. */
  publishList(): void {
    const views = [...this.#views.values()];
    for (const node of this.nodes) node.updateServers(views);
  }

  /**
   * Shows a server as leaving on the list, after its lag.
   * @param id The server.
   */
  listAsLeaving(id: BackendServerId): void {
    this.timeline.after(LIST_LAG_MILLISECONDS, () => {
      const view = this.#views.get(id);
      if (view === undefined) return;
      this.#views.set(id, { ...view, leaving: true });
      this.publishList();
    });
  }

  /**
   * Takes a server off the list, or puts it back, after the list's lag.
   * @param id The server.
   * @param isListed Whether the list shows it.
   */
  setListed(id: BackendServerId, isListed: boolean): void {
    this.timeline.after(LIST_LAG_MILLISECONDS, () => {
      const server = this.servers.get(id);
      if (server === undefined) return;
      const { failureDomain } = server.size;
      const view = { server: id, failureDomain, leaving: false };
      if (isListed) this.#views.set(id, view);
      else this.#views.delete(id);
      this.publishList();
    });
  }

  /**
   * Makes a call through a node drawn at random.
   * @param repeatable Whether it may be repeated.
   * @param onReport Gets what came of it.
   * @returns Gives the call up.
   */
  call(
    repeatable: boolean,
    onReport: (report: CallReport) => void,
  ): () => void {
    this.#calls += 1;
    const id = requestId(`call-${this.#calls}`);
    const node = this.nodes[uniformInt(this.random, 0, this.nodes.length - 1)];
    const startedAt = this.timeline.now;
    node?.submit({ id, repeatable }, (end) => {
      const milliseconds = this.timeline.now - startedAt;
      onReport({ id, repeatable, milliseconds, end });
    });
    return () => {
      node?.cancel(id);
    };
  }

  /**
   * Draws by chance.
   * @param share From 0 to 1.
   * @returns Whether it happens.
   */
  happens(share: number): boolean {
    return uniformFloat64(this.random) < share;
  }

  #makeServers(
    size: ModelWorldSize,
  ): ReadonlyMap<BackendServerId, ModelServer> {
    const servers = new Map<BackendServerId, ModelServer>();
    for (let index = 0; index < size.servers; index += 1) {
      const id = backendServerId(`server-${index}`);
      const failureDomain = failureDomainId(`domain-${index % size.domains}`);
      const { workers, meanMilliseconds } = size;
      const random = randomSource(size.seed * 2_000 + index);
      const own = { id, failureDomain, workers, meanMilliseconds };
      servers.set(id, new ModelServer(own, this.timeline, random));
      this.#views.set(id, { server: id, failureDomain, leaving: false });
    }
    return servers;
  }
}
