import {
  formatSettingsProblem,
  parseRelaySettings,
} from "@foxtailwind/node/relay";
import test from "ava";
import { SETTINGS_TEXT } from "./helpers/relay_settings.ts";

test("valid settings are read, with what may be left out", (t) => {
  const settings = parseRelaySettings(SETTINGS_TEXT, "relay.ini");
  t.snapshot(settings._unsafeUnwrap());
});

test("every problem is named at once, with its place and what is allowed", (t) => {
  const text = SETTINGS_TEXT
    .replace("callers = 127.0.0.1:0", "callers = somewhere")
    .replace("share = 0.2", "share = 2")
    .replace("grace_seconds", "grace_second")
    .replace("[addresses]", "[adresses]");
  const problems = parseRelaySettings(text, "relay.ini")._unsafeUnwrapErr();
  t.snapshot(problems.map(formatSettingsProblem));
});
