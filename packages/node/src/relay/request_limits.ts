import {
  type BackendServerId,
  backendServerId,
  type Duration,
  elapsed,
  estimateQueueWait,
  type Instant,
  milliseconds,
  type NodeId,
  type RegisteredServer,
  RequestPacer,
  type ServerRateLimit,
  ServerRateLimits,
  serverStart,
  type ServiceId,
  shareOfLimit,
  startKey,
} from "@foxtailwind/core";
import type { ServerLimit } from "@foxtailwind/protocol";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { Knowledge } from "./knowledge.ts";

/** Between two looks at what the other nodes say. */
const REFRESH_INTERVAL = milliseconds(250);

/** A run of a server, as far as its limit goes. */
type ServerRun = Pick<RegisteredServer, "id" | "start">;

/** What limits work with. */
export interface RequestLimitsParts {
  readonly self: NodeId;
  readonly knowledge: Knowledge;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
  /** Called where a server has named a limit, or names none any more. */
  readonly changed: () => void;
}

/** A request's place among those that wait for limits. */
export interface LimitQueuePlace {
  readonly ahead: number;
  readonly leave: () => void;
}

interface ServerPacer {
  readonly server: BackendServerId;
  readonly pacer: RequestPacer;
}

/** Keeps this node's part of the limits that servers name. */
export class RequestLimits {
  readonly #parts: RequestLimitsParts;
  readonly #rateLimits = new ServerRateLimits();
  readonly #pacers = new Map<string, ServerPacer>();
  readonly #queueLengths = new Map<ServiceId, number>();
  #servingNodes: readonly NodeId[] = [];
  #refreshedAt: Instant | undefined;

  /** @param parts What it works with. */
  constructor(parts: RequestLimitsParts) {
    this.#parts = parts;
  }

  /** What this node has seen itself, as other nodes are told. */
  get ownLimits(): readonly ServerLimit[] {
    return this.#rateLimits.ownLimits.map(encodeLimit);
  }

  /** How many runs of servers have a limit. */
  get limitedRunCount(): number {
    return this.#rateLimits.limitedRuns.size;
  }

  /**
   * Takes what an answer says of its server's limit.
   * @param run The run of the server that gave it.
   * @param sentAt When its request was sent.
   * @param limit Requests a second, where it names a limit.
   */
  answered(run: ServerRun, sentAt: Instant, limit: number | undefined): void {
    if (limit === undefined && this.#rateLimits.isEmpty) return;
    const { clock, logger, changed } = this.#parts;
    const isNews = this.#rateLimits.applyAnswer(
      clock.now(),
      startKey(run.id, run.start),
      { sentAt, limit },
    );
    if (!isNews) return;
    logger.info(
      limit === undefined
        ? "A server names no limit any more."
        : "A server names a limit.",
      { server: run.id, start: run.start, limit },
    );
    changed();
  }

  /**
   * Tells how long it takes until a request may be sent to a server.
   * @param run The server.
   * @returns The time, or nothing where this node sends it none.
   */
  wait(run: ServerRun): Duration | undefined {
    const now = this.#parts.clock.now();
    const limited = this.#findLimit(now, run);
    return limited === undefined
      ? milliseconds(0)
      : limited.pace.wait(now, limited.rate);
  }

  /**
   * Tells whether limits keep a request from all servers that could run it.
   * @param runs The servers.
   * @returns Whether there are some, and none takes a request of this node now.
   */
  areReached(runs: readonly ServerRun[]): boolean {
    return runs.length > 0 && runs.every((run) => this.wait(run) !== 0);
  }

  /**
   * Estimates when a request may be sent that limits keep from all servers.
   * @param runs The servers.
   * @param ahead How many requests wait before it.
   * @returns The time, or nothing where this node sends none of them any.
   */
  waitBehind(runs: readonly ServerRun[], ahead: number): Duration | undefined {
    const now = this.#parts.clock.now();
    const servers = runs.flatMap((run) => {
      const limited = this.#findLimit(now, run);
      if (limited === undefined) return [];
      const { pace, rate } = limited;
      return [{ wait: pace.wait(now, rate), rate }];
    });
    return estimateQueueWait(servers, ahead);
  }

  /**
   * Lets a request wait for the servers of a service.
   * @param service The service.
   * @returns How many wait before it, and what ends its wait.
   */
  queue(service: ServiceId): LimitQueuePlace {
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
   * Takes a request to a server from this node's part of its limit.
   * @param run The server.
   * @returns Whether it may be sent now.
   */
  take(run: ServerRun): boolean {
    const now = this.#parts.clock.now();
    const limited = this.#findLimit(now, run);
    return limited === undefined || limited.pace.tryTake(now, limited.rate);
  }

  /**
   * Gives back a request that was taken and not sent.
   * @param run The server.
   */
  giveBack(run: ServerRun): void {
    this.#pacers.get(startKey(run.id, run.start))?.pacer.refund();
  }

  /**
   * Looks at what the other nodes say, and forgets servers that are gone.
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

  #findLimit(now: Instant, { id, start }: ServerRun) {
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
    return { pace: known.pacer, rate };
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
