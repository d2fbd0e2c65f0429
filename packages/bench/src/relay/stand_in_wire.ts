import {
  adapterId,
  type Duration,
  milliseconds,
  modelId,
  promptPartId,
  type RequestId,
  requestId,
  seconds,
} from "@foxtailwind/core";
import {
  type AnswerFacts,
  type CallerAddressQuery,
  type CallerRequest,
  digestApiKey,
  OperationsWire,
  RelayWire,
  type SendTerms,
} from "@foxtailwind/node/relay";
import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** The only model of the stand-in engines. */
export const STAND_IN_MODEL = modelId("m");

/** Names the requests per second that a server accepts from all nodes. */
export const REQUEST_LIMIT_HEADER = "x-limit";

/** Present, as "1", in all answers of a server that leaves. */
export const LEAVING_HEADER = "x-leaving";

/** The rejections in a second from which on a brittle server fails. */
export const REJECTION_LIMIT_HEADER = "x-brittle";

/** Present in requests that another node forwards. */
const FORWARDED_HEADER = "x-forwarded-by-peer";

/** The last event that the caller received of a stream. */
export const LAST_EVENT_HEADER = "x-last-event";

/** The caller's attempt that brought the first event of that stream. */
export const RESUMES_HEADER = "x-resumes";

/** The parts of the prompt in order, separated by commas. */
export const PARTS_HEADER = "x-parts";

/** The name of no server, in requests that none of them may run. */
const NO_SERVER = "none";

/** The start of the server that must run a request. */
export const START_HEADER = "x-start";

/** How long a server wants no requests from the node, in seconds. */
export const RETRY_AFTER_HEADER = "x-retry-after";

/** What a server states about further requests in all its answers. */
export interface StandInNotice {
  /** Whether it announces its departure. */
  readonly isLeaving?: boolean;
  /** It refuses requests and asks for this backoff, in seconds. */
  readonly retryAfterSeconds?: number;
}

/**
 * Sets the headers that state what a server wants of further requests.
 * @param response The response.
 * @param notice What it states.
 */
export function setNoticeHeaders(
  response: ServerResponse,
  { isLeaving, retryAfterSeconds }: StandInNotice,
): void {
  if (isLeaving === true) response.setHeader(LEAVING_HEADER, "1");
  if (retryAfterSeconds !== undefined) {
    response.setHeader(RETRY_AFTER_HEADER, String(retryAfterSeconds));
  }
}

/** Headers about the client account, which servers get only from the relay. */
const ACCOUNT_HEADERS: ReadonlySet<string> = new Set(["x-key", "x-account"]);

/** A caller protocol that uses headers with the prefix `x-`. */
export class StandInWire extends RelayWire {
  override readRequest(
    headers: IncomingHttpHeaders,
  ): Result<CallerRequest, string> {
    const id = headers["x-id"];
    if (typeof id !== "string") return err("no_request_id");
    const patience = headers["x-patience"];
    const adapter = headers["x-adapter"];
    const key = headers["x-key"];
    const tokens = headers["x-tokens"];
    const lastEventId = headers[LAST_EVENT_HEADER];
    const resumes = headers[RESUMES_HEADER];
    const parts = headers[PARTS_HEADER];
    return ok({
      id: requestId(id),
      ...(typeof patience === "string"
        ? { patience: milliseconds(Number(patience)) }
        : {}),
      ...(typeof key === "string" ? { key: digestApiKey(key) } : {}),
      ...(typeof tokens === "string" ? { tokens: Number(tokens) } : {}),
      ...(typeof adapter === "string"
        ? {
          use: {
            model: STAND_IN_MODEL,
            adapter: adapterId(adapter),
            promptTokens: 10,
            outputTokens: 10,
          },
        }
        : {}),
      ...(typeof parts === "string"
        ? { sharedParts: parts.split(",").slice(0, -1).map(promptPartId) }
        : {}),
      ...(typeof lastEventId === "string" ? { lastEventId } : {}),
      ...(typeof resumes === "string" ? { resumes: requestId(resumes) } : {}),
      isForwarded: headers[FORWARDED_HEADER] !== undefined,
    });
  }

  override forwardHeaders(
    rawHeaders: readonly string[],
    timeLeft: Duration,
  ): string[] {
    const headers: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
      const name = (rawHeaders[index] ?? "").toLowerCase();
      const isKept = name.startsWith("x-") && name !== "x-patience";
      if (isKept || name === "host") {
        headers.push(name, rawHeaders[index + 1] ?? "");
      }
    }
    headers.push("x-patience", String(timeLeft), FORWARDED_HEADER, "1");
    return headers;
  }

  override sendHeaders(
    rawHeaders: readonly string[],
    terms: SendTerms,
  ): string[] {
    const headers: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
      const name = (rawHeaders[index] ?? "").toLowerCase();
      const isHidden = terms.hasAccounts && ACCOUNT_HEADERS.has(name);
      const isOwn = name === FORWARDED_HEADER;
      if (name.startsWith("x-") && !isHidden && !isOwn) {
        headers.push(name, rawHeaders[index + 1] ?? "");
      }
    }
    headers.push("x-server", terms.server, "x-left", String(terms.timeLeft));
    if (terms.start !== undefined) {
      headers.push(START_HEADER, String(terms.start));
    }
    if (terms.account !== undefined) headers.push("x-account", terms.account);
    if (terms.resumeAfterEventId !== undefined) {
      headers.push("x-after", terms.resumeAfterEventId);
    }
    return headers;
  }

  override probeHeaders(id: RequestId): string[] {
    return ["x-id", id, "x-server", NO_SERVER];
  }

  override readAnswer(status: number, headers: Headers): AnswerFacts {
    const id = headers["x-id"];
    const limit = headers[REQUEST_LIMIT_HEADER];
    const retryAfter = headers[RETRY_AFTER_HEADER];
    const rejectionLimit = headers[REJECTION_LIMIT_HEADER];
    return {
      ...(typeof id === "string" ? { requestId: id } : {}),
      ...(typeof limit === "string" ? { requestLimit: Number(limit) } : {}),
      ...(typeof retryAfter === "string"
        ? { retryAfter: seconds(Number(retryAfter)) }
        : {}),
      ...(typeof rejectionLimit === "string"
        ? { rejectionLimit: Number(rejectionLimit) }
        : {}),
      isLeaving: headers[LEAVING_HEADER] === "1",
      isNotRun: headers["x-not-run"] !== undefined,
      isMisdirected: status === 421,
      hasSeal: headers["x-seal"] !== undefined,
    };
  }
}

/** The protocol of requests for a node's readiness and addresses. */
export class StandInOperations extends OperationsWire {
  override readonly readinessPath = "/readiness";
  override readonly addressesPath = "/addresses";

  override readAddressQuery(
    query: Readonly<Record<string, string | undefined>>,
  ): CallerAddressQuery {
    const failureDomain = query["domain"];
    return failureDomain === undefined ? {} : { failureDomain };
  }

  override writeAddresses(addresses: readonly string[]): string {
    return JSON.stringify(addresses);
  }
}
