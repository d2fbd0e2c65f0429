import { type Instant, seconds } from "../shared/mod.ts";
import { ejectionEnd, type ServiceServer } from "./service_server.ts";

const CONSECUTIVE_FAILURE_THRESHOLD = 5;
const FAILURE_RATE_THRESHOLD = 0.4;
const BASE_EJECTION_DURATION = seconds(5);
const MINIMUM_ELIGIBLE_SHARE = 0.5;

/**
 * Ejects a server that exceeds a failure threshold, unless too few servers
 * would remain eligible: a fault that all servers share is not caused by one.
 * @param now The present time.
 * @param server The server that just failed.
 * @param servers All servers of the service.
 */
export function ejectIfOutlier(
  now: Instant,
  server: ServiceServer,
  servers: Iterable<ServiceServer>,
): void {
  const isOutlier =
    server.consecutiveFailures >= CONSECUTIVE_FAILURE_THRESHOLD ||
    server.failureRate >= FAILURE_RATE_THRESHOLD;
  if (!isOutlier || !server.isEligible(now)) return;
  if (!canEjectOne(now, servers)) return;
  server.eject(ejectionEnd(now, BASE_EJECTION_DURATION, server.ejections));
}

/**
 * Readmits servers whose ejection is over. Readmits all of them if departures
 * have reduced the eligible servers below the minimum.
 * @param now The present time.
 * @param servers All servers of the service.
 */
export function readmitServers(
  now: Instant,
  servers: readonly ServiceServer[],
): void {
  for (const server of servers) server.readmit(now);
  const remaining = servers.filter((server) => !server.leaving);
  const eligible = remaining.filter((server) => server.isEligible(now));
  if (eligible.length >= minimumEligible(remaining.length)) return;
  for (const server of remaining) server.readmitNow();
}

function canEjectOne(
  now: Instant,
  servers: Iterable<ServiceServer>,
): boolean {
  let remaining = 0;
  let eligible = 0;
  for (const server of servers) {
    if (server.leaving) continue;
    remaining += 1;
    if (server.isEligible(now)) eligible += 1;
  }
  return eligible - 1 >= minimumEligible(remaining);
}

function minimumEligible(remaining: number): number {
  return Math.ceil(remaining * MINIMUM_ELIGIBLE_SHARE);
}
