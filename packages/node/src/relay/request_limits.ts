import {
  type BackendServerId,
  backendServerId,
  BrittleServers,
  type Duration,
  elapsed,
  estimateQueueWait,
  type Instant,
  milliseconds,
  type NodeId,
  type RegisteredServer,
  RequestPacer,
  ServerBackoffs,
  type ServerRateLimit,
  ServerRateLimits,
  type ServerRun,
  serverStart,
  type ServiceId,
  shareOfLimit,
  startKey,
} from "@foxtailwind/core";
import type { ServerLimit } from "@foxtailwind/protocol";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { AnswerFacts } from "./caller_wire.ts";
import type { Knowledge } from "./knowledge.ts";

/** The interval at which the limits reported by other nodes are read. */
const REFRESH_INTERVAL = milliseconds(250);

/** The dependencies of {@link RequestLimits}. */
export interface RequestLimitsParts {
  readonly self: NodeId;
  readonly knowledge: Knowledge;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /** Called when a server states a new limit or no longer states one. */
  readonly onChange: () => void;
}

/** A request's place in the queue for rate-share servers. */
export interface LimitQueuePlace {
  readonly ahead: number;
  readonly leave: () => void;
}

/** An answer, as far as it limits the next requests to its server. */
export interface LimitingAnswer {
  /** When its request was sent. */
  readonly sentAt: Instant;
  readonly status: number;
  readonly facts: AnswerFacts;
}

interface ServerPacer {
  readonly server: BackendServerId;
  readonly pacer: RequestPacer;
}

/**
 * Enforces this node's share of the rate limits that servers state, and the
 * backoffs that they ask of this node.
 */
export class RequestLimits {
  readonly #parts: RequestLimitsParts;
  readonly #rateLimits = new ServerRateLimits();
  readonly #backoffs = new ServerBackoffs();
  readonly #brittleServers = new BrittleServers();
  readonly #pacers = new Map<string, ServerPacer>();
  readonly #queueLengths = new Map<ServiceId, number>();
  #servingNodes: readonly NodeId[] = [];
  #refreshedAt: Instant | undefined;

  /** @param parts The dependencies. */
  constructor(parts: RequestLimitsParts) {
    this.#parts = parts;
  }

  /** The limits that this node has observed itself, for its peers. */
  get ownLimits(): readonly ServerLimit[] {
    return this.#rateLimits.ownLimits.map(encodeLimit);
  }

  /** The number of server runs that have a limit. */
  get limitedRunCount(): number {
    return this.#rateLimits.limitedRuns.size;
  }

  /**
   * Applies the limit that an answer states, or its absence, and the backoff.
   * @param run The run of the server that answered.
   * @param answer The answer.
   */
  applyAnswer(
    run: ServerRun,
    { sentAt, status, facts }: LimitingAnswer,
  ): void {
    this.#applyBackoff(run, { sentAt, status, facts });
    const { requestLimit, hasSeal } = facts;
    if (requestLimit !== undefined || hasSeal) {
      this.#applyLimit(run, sentAt, requestLimit);
    }
  }

  /**
   * Returns how long a server wants no requests from this node.
   * @param run The run of the server.
   * @returns The time; 0 if it wants requests.
   */
  backoff(run: ServerRun): Duration {
    return this.#backoffs.remaining(this.#parts.clock.now(), run);
  }

  /**
   * Determines whether a server has room for another request of this node, as
   * far as it limits the requests in progress.
   * @param server The server.
   * @param running The requests that this node has in progress there.
   * @returns Whether it may have another one.
   */
  hasRoom({ id, start, slots }: RegisteredServer, running: number): boolean {
    return running < this.#brittleServers.maximumInProgress(
      this.#parts.clock.now(),
      startKey(id, start),
      slots,
      this.#nodeCount,
    );
  }

  #applyBackoff(
    run: ServerRun,
    { sentAt, status, facts }: LimitingAnswer,
  ): void {
    const { clock, logger } = this.#parts;
    const now = clock.now();
    const brittleBackoff = this.#brittleServers.applyAnswer(
      now,
      startKey(run.id, run.start),
      {
        sentAt,
        isRejection: facts.isNotRun && !facts.isMisdirected,
        rejectionLimit: facts.rejectionLimit,
        nodes: this.#nodeCount,
      },
    );
    const retryAfter = milliseconds(
      Math.max(facts.retryAfter ?? 0, brittleBackoff),
    );
    const isNew = this.#backoffs.applyAnswer(now, run, {
      status,
      ...(retryAfter === 0 ? {} : { retryAfter }),
    });
    if (!isNew) return;
    logger.info("A server asks this node for a backoff.", {
      server: run.id,
      start: run.start,
      retry_after: retryAfter,
    });
  }

  #applyLimit(
    run: ServerRun,
    sentAt: Instant,
    limit: number | undefined,
  ): void {
    if (limit === undefined && this.#rateLimits.isEmpty) return;
    const { clock, logger, onChange: changed } = this.#parts;
    const hasChanged = this.#rateLimits.applyAnswer(
      clock.now(),
      startKey(run.id, run.start),
      { sentAt, limit },
    );
    if (!hasChanged) return;
    logger.info(
      limit === undefined
        ? "A server no longer states a limit."
        : "A server states a limit.",
      { server: run.id, start: run.start, limit },
    );
    changed();
  }

  /**
   * Returns how long a request must wait before it may be sent to a server.
   * @param run The run of the server.
   * @returns The time, or undefined if this node may send it no requests.
   */
  waitTime(run: ServerRun): Duration | undefined {
    const now = this.#parts.clock.now();
    const backoff = this.backoff(run);
    const share = this.#findShare(now, run);
    if (share === undefined) return backoff;
    const wait = share.pacer.wait(now, share.rate);
    return wait === undefined
      ? undefined
      : milliseconds(Math.max(wait, backoff));
  }

  /**
   * Determines whether limits block all servers that could run a request.
   * @param runs The runs of the servers.
   * @returns Whether there are servers and this node may send to none now.
   */
  areAllReached(runs: readonly ServerRun[]): boolean {
    return runs.length > 0 && runs.every((run) => this.waitTime(run) !== 0);
  }

  /**
   * Estimates the wait of a request while limits block all servers.
   * @param runs The runs of the servers.
   * @param ahead The number of requests queued before it.
   * @returns The time, or undefined if this node may send them no requests.
   */
  estimateQueueWait(
    runs: readonly ServerRun[],
    ahead: number,
  ): Duration | undefined {
    const now = this.#parts.clock.now();
    const limited = runs.flatMap((run) => {
      const share = this.#findShare(now, run);
      return share === undefined
        ? []
        : [{ wait: this.waitTime(run), rate: share.rate }];
    });
    const unlimited = runs.filter((run) =>
      this.#findShare(now, run) === undefined
    );
    const waits = [
      estimateQueueWait(limited, ahead),
      ...unlimited.map((run) => this.backoff(run)),
    ].filter((wait) => wait !== undefined);
    return waits.length === 0 ? undefined : milliseconds(Math.min(...waits));
  }

  /**
   * Adds a request to the queue for the servers of a service.
   * @param service The service.
   * @returns The number of requests ahead and a function that leaves the queue.
   */
  enqueue(service: ServiceId): LimitQueuePlace {
    const ahead = this.#queueLengths.get(service) ?? 0;
    this.#queueLengths.set(service, ahead + 1);
    return {
      ahead,
      leave: () => {
        this.#queueLengths.set(
          service,
          (this.#queueLengths.get(service) ?? 1) - 1,
        );
      },
    };
  }

  /**
   * Takes a request to a server from this node's share of its limit.
   * @param run The run of the server.
   * @returns Whether the request may be sent now.
   */
  tryTake(run: ServerRun): boolean {
    if (this.backoff(run) > 0) return false;
    const now = this.#parts.clock.now();
    const share = this.#findShare(now, run);
    return share === undefined || share.pacer.tryTake(now, share.rate);
  }

  /**
   * Refunds a request that was taken and not sent.
   * @param run The run of the server.
   */
  refund(run: ServerRun): void {
    this.#pacers.get(startKey(run.id, run.start))?.pacer.refund();
  }

  /**
   * Applies the limits reported by other nodes and drops removed servers.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    const { self, knowledge } = this.#parts;
    this.#refreshedAt = now;
    const peers = knowledge.peers.alive(now);
    this.#rateLimits.applyPeerLimits(
      now,
      peers.flatMap(({ limits }) => limits.map(decodeLimit)),
    );
    const { serving, registry } = knowledge;
    const nodes = knowledge.peers.presentNodes(now).map(({ id }) => id);
    this.#servingNodes = [self, ...nodes].filter((id) => serving.has(id));
    for (const [run, { server }] of this.#pacers) {
      const remains = registry.find(server) !== undefined &&
        this.#rateLimits.limitOf(run) !== undefined;
      if (!remains) this.#pacers.delete(run);
    }
  }

  /** The nodes that may send to the same servers, including this one. */
  get #nodeCount(): number {
    return Math.max(1, this.#servingNodes.length);
  }

  #findShare(now: Instant, { id, start }: ServerRun) {
    const isDue = this.#refreshedAt === undefined ||
      elapsed(this.#refreshedAt, now) >= REFRESH_INTERVAL;
    if (isDue) this.refresh(now);
    if (this.#rateLimits.isEmpty) return undefined;
    const run = startKey(id, start);
    const limit = this.#rateLimits.limitOf(run);
    if (limit === undefined) return undefined;
    const known = this.#pacers.get(run) ??
      { server: id, pacer: new RequestPacer(now) };
    this.#pacers.set(run, known);
    const { self } = this.#parts;
    const rate = shareOfLimit({ run, limit, self, nodes: this.#servingNodes });
    return { pacer: known.pacer, rate };
  }
}

function encodeLimit({ run, limit }: ServerRateLimit): ServerLimit {
  const at = run.lastIndexOf("@");
  return {
    server: run.slice(0, at),
    start: Number(run.slice(at + 1)),
    requestsPerSecond: limit,
  };
}

function decodeLimit(
  { server, start, requestsPerSecond }: ServerLimit,
): ServerRateLimit {
  const run = startKey(
    backendServerId(server),
    start === 0 ? undefined : serverStart(start),
  );
  return requestsPerSecond === undefined
    ? { run }
    : { run, limit: requestsPerSecond };
}
