import {
  formatSettingsProblem,
  parseRelaySettings,
} from "@foxtailwind/node/relay";
import test from "ava";
import { SETTINGS_TEXT } from "./helpers/relay_settings.ts";

test("valid settings are parsed, with defaults for omitted ones", (t) => {
  const settings = parseRelaySettings(SETTINGS_TEXT, "relay.ini");
  t.snapshot(settings._unsafeUnwrap());
});

test("all problems are reported together, with their locations and allowed values", (t) => {
  const text = SETTINGS_TEXT
    .replace("callers = 127.0.0.1:0", "callers = somewhere")
    .replace("share = 0.2", "share = 2")
    .replace("grace_seconds", "grace_second")
    .replace("[addresses]", "[adresses]");
  const problems = parseRelaySettings(text, "relay.ini")._unsafeUnwrapErr();
  t.snapshot(problems.map(formatSettingsProblem));
});
