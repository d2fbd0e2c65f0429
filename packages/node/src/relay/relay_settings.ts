import { failureDomainId, nodeId } from "@foxtailwind/core";
import type { Result } from "neverthrow";
import * as z from "zod";
import { socketAddressSchema } from "../settings/address_schemas.ts";
import { parseIni } from "../settings/parse_ini.ts";
import type { SettingsProblem } from "../settings/settings_problem.ts";

const nameSchema = z.string().min(1).max(128);

function positiveNumber(maximum: number) {
  const allowed = `a number above 0, at most ${maximum}`;
  return z.coerce.number(allowed).positive(allowed).max(maximum, allowed);
}

function numberUpTo(maximum: number) {
  const allowed = `a number from 0 to ${maximum}`;
  return z.coerce.number(allowed).min(0, allowed).max(maximum, allowed);
}

const MAX_MILLISECONDS = 600_000;
const MAX_SECONDS = 3_600;
const MAX_COUNT = 1_000_000;
const MAX_LINES_PER_SECOND = 100_000;
const MAX_QUOTA_SLACK = 1_000_000_000;
const MAX_TRANSFERS = 64;
const MAX_PROCESSORS = 1_024;
const MAX_MEGABYTES = 1_048_576;
const DEFAULT_MEGABYTES = 512;
const DEFAULT_DESCRIPTORS = 1_024;
const DEFAULT_REQUESTS_AHEAD = 16;
const DEFAULT_UNREAD_ANSWERS = 32;

/** The sections of the relay's settings. */
const relaySettingsSchema = z.strictObject({
  node: z.strictObject({
    id: nameSchema.transform(nodeId),
    failure_domain: nameSchema.transform(failureDomainId),
  }),
  /**
   * The VM's capacity: its share of a processor and the relative speed, its
   * memory, and the file descriptors of a process.
   */
  vm: z.strictObject({
    processor_share: positiveNumber(MAX_PROCESSORS).default(1),
    processor_speed: positiveNumber(MAX_PROCESSORS).default(1),
    memory_megabytes: positiveNumber(MAX_MEGABYTES).default(DEFAULT_MEGABYTES),
    file_descriptors: positiveNumber(MAX_COUNT).default(DEFAULT_DESCRIPTORS),
  }).default({
    processor_share: 1,
    processor_speed: 1,
    memory_megabytes: DEFAULT_MEGABYTES,
    file_descriptors: DEFAULT_DESCRIPTORS,
  }),
  /** What all callers of the node may use; by default a share of the VM. */
  clients: z.strictObject({
    /** The memory for connections, requests and bodies. */
    memory_megabytes: positiveNumber(MAX_MEGABYTES).optional(),
    /** The most open connections. */
    connections: positiveNumber(MAX_COUNT).optional(),
    /** The most requests in progress on one connection. */
    requests_ahead: positiveNumber(MAX_COUNT).default(DEFAULT_REQUESTS_AHEAD),
    /** The most answers that wait until their callers read them. */
    unread_answers: positiveNumber(MAX_COUNT).default(DEFAULT_UNREAD_ANSWERS),
  }).default({
    requests_ahead: DEFAULT_REQUESTS_AHEAD,
    unread_answers: DEFAULT_UNREAD_ANSWERS,
  }),
  listen: z.strictObject({
    callers: socketAddressSchema,
    readiness: socketAddressSchema,
    addresses: socketAddressSchema,
    peers: socketAddressSchema,
    metrics: socketAddressSchema,
  }),
  platform: z.strictObject({ store: socketAddressSchema }),
  /** Limits on retries, over all nodes. */
  retries: z.strictObject({
    share: numberUpTo(1),
    reserve: numberUpTo(MAX_COUNT),
    window_seconds: positiveNumber(MAX_SECONDS),
  }),
  engines: z.strictObject({
    /** The minimum time between the orders of two owners. */
    lease_milliseconds: positiveNumber(MAX_MILLISECONDS),
    /** The maximum number of concurrent adapter loads of one engine. */
    transfers: positiveNumber(MAX_TRANSFERS).default(4),
    /** Adapters that an engine caches in memory besides its slots. */
    kept_adapters: positiveNumber(MAX_COUNT).default(100),
  }),
  stop: z.strictObject({
    /** The time from the stop signal to the forced end of the process. */
    grace_seconds: positiveNumber(MAX_SECONDS),
  }),
  addresses: z.strictObject({
    longest_lifetime_seconds: positiveNumber(MAX_SECONDS),
  }),
  /** Client accounts; a bound that is left out does not apply. */
  accounts: z.strictObject({
    /** How long a revoked API key may still be used at any node. */
    revocation_milliseconds: positiveNumber(MAX_MILLISECONDS).optional(),
    /** What all nodes may admit beyond a quota, in its units. */
    quota_slack: numberUpTo(MAX_QUOTA_SLACK).default(0),
  }).default({ quota_slack: 0 }),
  logs: z.strictObject({
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
    /** The maximum number of lines per second; the rest is counted. */
    lines_a_second: positiveNumber(MAX_LINES_PER_SECOND).default(60),
  }).default({ level: "info", lines_a_second: 60 }),
});

/** The validated settings of a relay. */
export type RelaySettings = z.infer<typeof relaySettingsSchema>;

/**
 * Parses and validates a relay's settings file.
 * @param text The file's contents, in INI format.
 * @param file The file name used in problem reports.
 * @returns The settings, or all problems.
 */
export function parseRelaySettings(
  text: string,
  file: string,
): Result<RelaySettings, readonly SettingsProblem[]> {
  return parseIni(text, file, relaySettingsSchema);
}
