import type { Duration } from "@foxtailwind/core";

/**
 * Builds the settings of a relay that listens on free loopback ports.
 * @param id The id of the node.
 * @param grace The time from the begin of a planned stop to a forced stop.
 * @returns The settings as INI text.
 */
export function standInSettings(id: string, grace: Duration): string {
  return `
[node]
id = ${id}
failure_domain = domain-a

[listen]
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
addresses = 127.0.0.1:0
peers = 127.0.0.1:0
metrics = 127.0.0.1:0

[platform]
store = 127.0.0.1:1

[retries]
share = 0.2
reserve = 58
window_seconds = 10

[engines]
lease_milliseconds = 3000

[stop]
grace_seconds = ${grace / 1_000}

[addresses]
longest_lifetime_seconds = 5

[accounts]
revocation_milliseconds = 5000
`;
}
