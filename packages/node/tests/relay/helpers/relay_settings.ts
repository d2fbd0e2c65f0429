import {
  parseRelaySettings,
  type RelaySettings,
} from "@foxtailwind/node/relay";

/** The text of valid settings. */
export const SETTINGS_TEXT = `
[node]
id = node-1
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
grace_seconds = 8

[addresses]
longest_lifetime_seconds = 5
`;

/**
 * Gives valid settings.
 * @returns The settings.
 */
export function relaySettings(): RelaySettings {
  return parseRelaySettings(SETTINGS_TEXT, "test.ini")._unsafeUnwrap();
}
