import { isIP } from "node:net";
import * as z from "zod";

/** An IP literal and a port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const MAXIMUM_PORT = 65_535;
const ADDRESS_PATTERN =
  /^(?:\[(?<six>[^\]]+)\]|(?<four>[^:]+)):(?<port>\d{1,5})$/;

const ADDRESS_ALLOWED =
  "an IP literal and a port, as 127.0.0.1:8080 or [::1]:8080";
const URL_ALLOWED =
  "an http address with an IP literal, as http://127.0.0.1:8080";

/** An IP literal and a port, as 127.0.0.1:8080 or [::1]:8080. */
export const socketAddressSchema = z.string(ADDRESS_ALLOWED).transform(
  (text, context): SocketAddress => {
    const groups = ADDRESS_PATTERN.exec(text)?.groups;
    const host = groups?.["six"] ?? groups?.["four"] ?? "";
    const port = Number(groups?.["port"] ?? Number.NaN);
    if (isIP(host) !== 0 && port <= MAXIMUM_PORT) return { host, port };
    context.addIssue({ code: "custom", message: ADDRESS_ALLOWED });
    return z.NEVER;
  },
);

/** An http address whose host is an IP literal. */
export const httpUrlSchema = z.string(URL_ALLOWED).refine((text) => {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  return url.protocol === "http:" && isIP(withoutBrackets(url.hostname)) !== 0;
}, URL_ALLOWED);

function withoutBrackets(host: string): string {
  return host.replace(/^\[|\]$/g, "");
}
