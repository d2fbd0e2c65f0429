import {
  type BackendServerId,
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  type ServiceId,
} from "../shared/mod.ts";

/** A failed connection counts as evidence of a partition for this long. */
const EVIDENCE_TIME = milliseconds(2_000);
/** The number of servers with a failed connection that leads to a probe. */
const SUSPICIOUS_SERVERS = 2;
/** The interval between probes while a partition is suspected. */
const SUSPECTED_PROBE_INTERVAL = milliseconds(400);
/** The interval between probes of a service that is out of reach. */
const UNREACHED_PROBE_INTERVAL = milliseconds(1_000);

/** What is known of the connections to one service. */
interface ServiceState {
  /** When connections to servers failed, since one last succeeded. */
  readonly failures: Map<BackendServerId, Instant>;
  /** Whether a probe is due because another service is out of reach. */
  isSuspected: boolean;
  isUnreached: boolean;
  lastProbeAt: Instant | undefined;
}

/**
 * Decides which services this node can't reach although their servers may be
 * well: new connections to all of them fail.
 *
 * Open connections prove nothing, since a partition may let them live on. Nor
 * does a silent server: only failed connections to several servers lead to a
 * probe, and only a probe that reaches no server of the service decides. The
 * next connection that succeeds ends the state.
 */
export class ServerReach {
  readonly #services = new Map<ServiceId, ServiceState>();

  /** The services that this node doesn't reach. */
  get unreachedServices(): readonly ServiceId[] {
    return [...this.#services]
      .filter(([, { isUnreached }]) => isUnreached)
      .map(([service]) => service);
  }

  /**
   * Determines whether this node reaches no server of a service.
   * @param service The service.
   * @returns Whether the last probe reached none.
   */
  isUnreached(service: ServiceId): boolean {
    return this.#services.get(service)?.isUnreached === true;
  }

  /**
   * Records a connection to a server.
   * @param service The server's service.
   * @returns Whether the service was out of reach until now.
   */
  recordConnected(service: ServiceId): boolean {
    const state = this.#services.get(service);
    const wasUnreached = state?.isUnreached === true;
    this.#services.delete(service);
    return wasUnreached;
  }

  /**
   * Records a failed connection to a server.
   * @param now The present time.
   * @param service The server's service.
   * @param server The server.
   */
  recordFailure(
    now: Instant,
    service: ServiceId,
    server: BackendServerId,
  ): void {
    this.#stateOf(service).failures.set(server, now);
  }

  /**
   * Determines whether servers of a service should be probed now.
   * @param now The present time.
   * @param service The service.
   * @param serverCount The number of its servers.
   * @returns Whether a probe is due.
   */
  isProbeDue(now: Instant, service: ServiceId, serverCount: number): boolean {
    const state = this.#services.get(service);
    if (state === undefined || serverCount === 0) return false;
    const { failures, isSuspected, isUnreached, lastProbeAt } = state;
    const recent = [...failures.values()]
      .filter((at) => elapsed(at, now) < EVIDENCE_TIME);
    const isEvident = isSuspected || isUnreached ||
      recent.length >= Math.min(SUSPICIOUS_SERVERS, serverCount);
    const interval: Duration = isUnreached
      ? UNREACHED_PROBE_INTERVAL
      : SUSPECTED_PROBE_INTERVAL;
    return isEvident &&
      (lastProbeAt === undefined || elapsed(lastProbeAt, now) >= interval);
  }

  /**
   * Records the start of a probe.
   * @param now The present time.
   * @param service The service.
   */
  recordProbe(now: Instant, service: ServiceId): void {
    this.#stateOf(service).lastProbeAt = now;
  }

  /**
   * Records that a probe has reached no server of a service. The other services
   * are probed next: a partition of the node concerns all of them.
   * @param service The service.
   * @param others The other services.
   * @returns Whether the service was in reach until now.
   */
  recordUnreached(service: ServiceId, others: readonly ServiceId[]): boolean {
    const state = this.#stateOf(service);
    state.isSuspected = false;
    if (state.isUnreached) return false;
    state.isUnreached = true;
    for (const other of others) {
      const otherState = this.#stateOf(other);
      if (!otherState.isUnreached) otherState.isSuspected = true;
    }
    return true;
  }

  /**
   * Drops services that are no longer configured.
   * @param services The services that are.
   */
  retain(services: ReadonlySet<ServiceId>): void {
    for (const service of this.#services.keys()) {
      if (!services.has(service)) this.#services.delete(service);
    }
  }

  #stateOf(service: ServiceId): ServiceState {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const state: ServiceState = {
      failures: new Map(),
      isSuspected: false,
      isUnreached: false,
      lastProbeAt: undefined,
    };
    this.#services.set(service, state);
    return state;
  }
}
