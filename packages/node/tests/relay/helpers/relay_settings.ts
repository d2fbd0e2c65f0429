import { standInSettings } from "@foxtailwind/bench";
import { seconds } from "@foxtailwind/core";
import {
  parseRelaySettings,
  type RelaySettings,
} from "@foxtailwind/node/relay";

/** The text of valid settings. */
export const SETTINGS_TEXT = standInSettings("node-1", seconds(8));

/**
 * Parses valid settings.
 * @returns The settings.
 */
export function relaySettings(): RelaySettings {
  return parseRelaySettings(SETTINGS_TEXT, "test.ini")._unsafeUnwrap();
}
