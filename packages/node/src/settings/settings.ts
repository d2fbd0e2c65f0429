import {
  failureDomainId,
  nodeId,
  regionId,
  weightStoreId,
} from "@foxtailwind/core";
import * as z from "zod";
import { httpUrlSchema, socketAddressSchema } from "./address_schemas.ts";

export type { SocketAddress } from "./address_schemas.ts";

const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const ID_ALLOWED = "1 to 64 letters, digits, '.', '_' and '-'";
const id = z.string(ID_ALLOWED).regex(ID_PATTERN, ID_ALLOWED);

const DEFAULT_LIFETIME_SECONDS = 10;
const LONGEST_LIFETIME_SECONDS = 300;
const LONGEST_STOP_SECONDS = 86_400;

const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;
const LONGEST_UNREAD_MILLISECONDS = 600_000;

function secondsUpTo(largest: number) {
  const allowed = `a number of seconds above 0, at most ${largest}`;
  return z.coerce.number(allowed).positive(allowed).max(largest, allowed);
}

function wholeNumberBetween(smallest: number, largest: number) {
  const allowed = `a whole number from ${smallest} to ${largest}`;
  return z.coerce.number(allowed).int(allowed).min(smallest, allowed)
    .max(largest, allowed);
}

function choice<const Names extends readonly [string, ...string[]]>(
  names: Names,
) {
  return z.enum(names, `one of ${names.join(", ")}`);
}

/** The sections of the daemon's settings and their keys. */
export const SETTINGS_SECTIONS = {
  node: z.strictObject({
    id: id.transform(nodeId),
    region: id.transform(regionId),
    failure_domain: id.transform(failureDomainId),
  }),
  listen: z.strictObject({
    http: socketAddressSchema,
    grpc: socketAddressSchema,
  }),
  platform: z.strictObject({
    log: httpUrlSchema,
    vm_list: httpUrlSchema,
    weight_store: httpUrlSchema,
    weight_store_id: id.transform(weightStoreId).default(
      weightStoreId("default"),
    ),
  }),
  addresses: z.strictObject({
    lifetime_seconds: secondsUpTo(LONGEST_LIFETIME_SECONDS).default(
      DEFAULT_LIFETIME_SECONDS,
    ),
  }),
  stop: z.strictObject({
    longest_wait_seconds: secondsUpTo(LONGEST_STOP_SECONDS).optional(),
  }),
  limits: z.strictObject({
    header_bytes: wholeNumberBetween(KIBIBYTE, MEBIBYTE).default(16 * KIBIBYTE),
    body_bytes: wholeNumberBetween(KIBIBYTE, 64 * MEBIBYTE).default(
      4 * MEBIBYTE,
    ),
    answer_bytes: wholeNumberBetween(KIBIBYTE, 64 * MEBIBYTE).default(
      8 * MEBIBYTE,
    ),
    unread_bytes: wholeNumberBetween(KIBIBYTE, 64 * MEBIBYTE).default(MEBIBYTE),
    unread_milliseconds: wholeNumberBetween(1, LONGEST_UNREAD_MILLISECONDS)
      .default(30_000),
  }),
  logs: z.strictObject({
    format: choice(["human", "json"]).default("human"),
    level: choice(["error", "warn", "info", "debug"]).default("info"),
  }),
  metrics: z.strictObject({
    statsd: socketAddressSchema.optional(),
  }),
} as const;

/**
 * The schema of the daemon's settings. They hold neither latency targets, which
 * are part of the configuration, nor placement, which is computed.
 */
export const settingsSchema = z.strictObject({
  node: SETTINGS_SECTIONS.node,
  listen: SETTINGS_SECTIONS.listen,
  platform: SETTINGS_SECTIONS.platform,
  addresses: SETTINGS_SECTIONS.addresses.prefault({}),
  stop: SETTINGS_SECTIONS.stop.prefault({}),
  limits: SETTINGS_SECTIONS.limits.prefault({}),
  logs: SETTINGS_SECTIONS.logs.prefault({}),
  metrics: SETTINGS_SECTIONS.metrics.prefault({}),
});

/** The validated settings of a daemon. */
export type Settings = z.output<typeof settingsSchema>;
