import {
  failureDomainId,
  nodeId,
  regionId,
  weightStoreId,
} from "@foxtailwind/core";
import { isIP } from "node:net";
import { z } from "zod";

const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const id = z.string().regex(ID_PATTERN, "letters, digits, '.', '_' and '-'");

/** An IP literal and a port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const MAXIMUM_PORT = 65_535;

const socketAddress = z.string().transform((text, context): SocketAddress => {
  const match = /^(?:\[(?<six>[^\]]+)\]|(?<four>[^:]+)):(?<port>\d{1,5})$/
    .exec(text);
  const host = match?.groups?.["six"] ?? match?.groups?.["four"] ?? "";
  const port = Number(match?.groups?.["port"] ?? Number.NaN);
  if (isIP(host) === 0 || !(port <= MAXIMUM_PORT)) {
    context.addIssue({
      code: "custom",
      message: "an IP literal and a port, as 127.0.0.1:8080 or [::1]:8080",
    });
    return z.NEVER;
  }
  return { host, port };
});

const httpUrl = z.string().refine((text) => {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  return url.protocol === "http:" &&
    isIP(url.hostname.replace(/^\[|\]$/g, "")) !== 0;
}, "an http address with an IP literal, as http://127.0.0.1:8080");

const DEFAULT_LIFETIME_SECONDS = 10;
const LONGEST_LIFETIME_SECONDS = 300;
const LONGEST_STOP_SECONDS = 86_400;

function decimal(largest: number) {
  const allowed = `a number of seconds above 0, at most ${largest}`;
  return z.coerce.number(allowed).positive(allowed).max(largest, allowed);
}

/** The form of the daemon's settings: sections, and keys in them. */
export const settingsSchema = z.strictObject({
  node: z.strictObject({
    id: id.transform(nodeId),
    region: id.transform(regionId),
    failure_domain: id.transform(failureDomainId),
  }),
  listen: z.strictObject({
    http: socketAddress,
    grpc: socketAddress,
  }),
  platform: z.strictObject({
    log: httpUrl,
    vm_list: httpUrl,
    weight_store: httpUrl,
    weight_store_id: id.transform(weightStoreId).default(
      weightStoreId("default"),
    ),
  }),
  addresses: z.strictObject({
    lifetime_seconds: decimal(LONGEST_LIFETIME_SECONDS).default(
      DEFAULT_LIFETIME_SECONDS,
    ),
  }).prefault({}),
  stop: z.strictObject({
    longest_wait_seconds: decimal(LONGEST_STOP_SECONDS).optional(),
  }).prefault({}),
  logs: z.strictObject({
    format: z.enum(["human", "json"]).default("human"),
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
  }).prefault({}),
  metrics: z.strictObject({
    statsd: socketAddress.optional(),
  }).prefault({}),
});

/** The daemon's settings, checked. */
export type Settings = z.output<typeof settingsSchema>;
