import type { Duration } from "@foxtailwind/core";

/**
 * Writes the settings of a relay on stand-ins: free ports of loopback.
 * @param id The node.
 * @param grace From a planned stop's begin to its end by force.
 * @returns INI.
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
`;
}
