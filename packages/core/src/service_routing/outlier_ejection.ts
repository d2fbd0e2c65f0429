import { type Instant, seconds } from "../shared/mod.ts";
import { ejectionEnd, type ServiceServer } from "./service_server.ts";

const CONSECUTIVE_FAILURES = 5;
const FAILURE_RATE = 0.4;
const EJECTION = seconds(5);
const REMAINING_SHARE = 0.5;

/**
 * Ejects a server that fails far more than it should, unless too few servers
 * would remain: a fault that all share is no server's own.
 * @param now The present time.
 * @param server The server that just failed.
 * @param servers All servers of the service.
 */
export function ejectIfOutlier(
  now: Instant,
  server: ServiceServer,
  servers: Iterable<ServiceServer>,
): void {
  const fails = server.consecutiveFailures >= CONSECUTIVE_FAILURES ||
    server.failureRate >= FAILURE_RATE;
  if (!fails || !server.isEligible(now)) return;
  if (!keepsFloorWithout(now, servers)) return;
  server.eject(ejectionEnd(now, EJECTION, server.ejections));
}

/**
 * Readmits servers whose ejection is over, and all of them where departures
 * have brought the eligible servers below the floor.
 * @param now The present time.
 * @param servers All servers of the service.
 */
export function readmitServers(
  now: Instant,
  servers: readonly ServiceServer[],
): void {
  for (const server of servers) server.readmit(now);
  const staying = servers.filter((server) => !server.leaving);
  const eligible = staying.filter((server) => server.isEligible(now));
  if (eligible.length >= floorOf(staying.length)) return;
  for (const server of staying) server.readmitAtOnce();
}

function keepsFloorWithout(
  now: Instant,
  servers: Iterable<ServiceServer>,
): boolean {
  let staying = 0;
  let eligible = 0;
  for (const server of servers) {
    if (server.leaving) continue;
    staying += 1;
    if (server.isEligible(now)) eligible += 1;
  }
  return eligible - 1 >= floorOf(staying);
}

function floorOf(staying: number): number {
  return Math.ceil(staying * REMAINING_SHARE);
}
