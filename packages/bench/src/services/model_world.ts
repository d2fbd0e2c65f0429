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
import { type CallOutcome, ModelNode } from "./model_node.ts";
import { ModelServer } from "./model_server.ts";
import { Timeline } from "./timeline.ts";

/** The size, policy and latency target of a simulation. */
export interface ModelWorldOptions {
  readonly seed: number;
  readonly nodeCount: number;
  readonly serverCount: number;
  readonly failureDomainCount: number;
  readonly workersPerServer: number;
  readonly meanServiceTimeMilliseconds: number;
  readonly target: LatencyTarget;
  readonly policy: ServicePolicy;
}

/** The outcome of one call. */
export interface CallReport {
  readonly id: ReturnType<typeof requestId>;
  readonly repeatable: boolean;
  readonly milliseconds: number;
  readonly outcome: CallOutcome;
}

/** The delay from a change to its appearance on the VM list. */
export const LIST_LAG_MILLISECONDS = 1_000;

/** A simulation of nodes and the servers of one service, in virtual time. */
export class ModelWorld {
  readonly timeline = new Timeline();
  readonly random: RandomSource;
  readonly nodes: readonly ModelNode[];
  readonly servers: ReadonlyMap<BackendServerId, ModelServer>;
  readonly #views = new Map<BackendServerId, ServiceServerView>();
  #callCount = 0;

  /** @param options The size, the seed and the policy. */
  constructor(options: ModelWorldOptions) {
    this.random = randomSource(options.seed);
    this.servers = this.#createServers(options);
    const { timeline, servers } = this;
    const { policy, target } = options;
    this.nodes = Array.from(
      { length: options.nodeCount },
      (_, index) =>
        new ModelNode({
          timeline,
          servers,
          policy,
          target,
          failureDomain: failureDomainId(
            `domain-${index % options.failureDomainCount}`,
          ),
          random: randomSource(options.seed * 1_000 + index),
        }),
    );
    this.publishServerList();
  }

  /** Passes the current server list to all nodes. */
  publishServerList(): void {
    const views = [...this.#views.values()];
    for (const node of this.nodes) node.updateServers(views);
  }

  /**
   * Marks a server as leaving on the VM list, after the list's lag.
   * @param id The ID of the server.
   */
  listAsLeaving(id: BackendServerId): void {
    this.timeline.schedule(LIST_LAG_MILLISECONDS, () => {
      const view = this.#views.get(id);
      if (view === undefined) return;
      this.#views.set(id, { ...view, leaving: true });
      this.publishServerList();
    });
  }

  /**
   * Adds a server to the VM list or removes it, after the list's lag.
   * @param id The ID of the server.
   * @param isListed Whether the list contains the server.
   */
  setListed(id: BackendServerId, isListed: boolean): void {
    this.timeline.schedule(LIST_LAG_MILLISECONDS, () => {
      const server = this.servers.get(id);
      if (server === undefined) return;
      const { failureDomain } = server.options;
      const view = { server: id, failureDomain, leaving: false };
      if (isListed) this.#views.set(id, view);
      else this.#views.delete(id);
      this.publishServerList();
    });
  }

  /**
   * Makes a call through a randomly chosen node.
   * @param repeatable Whether the call may run more than once.
   * @param onReport Called with the outcome.
   * @returns A function that cancels the call.
   */
  call(
    repeatable: boolean,
    onReport: (report: CallReport) => void,
  ): () => void {
    this.#callCount += 1;
    const id = requestId(`call-${this.#callCount}`);
    const node = this.nodes[uniformInt(this.random, 0, this.nodes.length - 1)];
    const startedAt = this.timeline.now;
    node?.submit({ id, repeatable }, (end) => {
      const milliseconds = this.timeline.now - startedAt;
      onReport({ id, repeatable, milliseconds, outcome: end });
    });
    return () => {
      node?.cancel(id);
    };
  }

  /**
   * Draws a random boolean.
   * @param share The probability of true, 0 to 1.
   * @returns The boolean.
   */
  drawBoolean(share: number): boolean {
    return uniformFloat64(this.random) < share;
  }

  #createServers(
    options: ModelWorldOptions,
  ): ReadonlyMap<BackendServerId, ModelServer> {
    const servers = new Map<BackendServerId, ModelServer>();
    for (let index = 0; index < options.serverCount; index += 1) {
      const id = backendServerId(`server-${index}`);
      const failureDomain = failureDomainId(
        `domain-${index % options.failureDomainCount}`,
      );
      const {
        workersPerServer: workers,
        meanServiceTimeMilliseconds: meanServiceTimeMilliseconds,
      } = options;
      const random = randomSource(options.seed * 2_000 + index);
      const serverOptions = {
        id,
        failureDomain,
        workers,
        meanServiceTimeMilliseconds,
      };
      servers.set(id, new ModelServer(serverOptions, this.timeline, random));
      this.#views.set(id, { server: id, failureDomain, leaving: false });
    }
    return servers;
  }
}
