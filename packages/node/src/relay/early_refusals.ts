import {
  type ClientAccount,
  type Duration,
  RELAY_SENTENCE,
} from "@foxtailwind/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type NodeRefusal,
  refuseIncomplete,
  writeRefusal,
} from "./caller_answer.ts";
import type { CallerRequest } from "./caller_wire.ts";
import type { RelayParts } from "./relay_parts.ts";
import { roundOptional } from "./round_optional.ts";

const BAD_REQUEST = 400;
const UNAVAILABLE = 503;
/** The status of each refusal; the codes of invalid headers are not listed. */
const STATUS_BY_CODE: ReadonlyMap<string, number> = new Map([
  ["unknown_key", 401],
  ["no_route", 404],
  ["body_stalled", 408],
  ["body_too_large", 413],
  ["over_quota", 429],
  ["headers_too_large", 431],
  ["overloaded", UNAVAILABLE],
  ["not_run_in_time", UNAVAILABLE],
  ["no_configuration", UNAVAILABLE],
  ["stale_configuration", UNAVAILABLE],
  ["stopping", UNAVAILABLE],
  ["unknown_stream", UNAVAILABLE],
  ["uncertain_stream", UNAVAILABLE],
  ["moved_stream", UNAVAILABLE],
]);
/**
 * Sent as `Retry-After` while the node has no configuration or accepts no more
 * requests, in seconds.
 */
const RETRY_AFTER_SECONDS = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;

/** A caller's request and the response to it. */
export interface CallerExchange {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

/** Why a request is refused before it is relayed, and whose it is. */
export interface EarlyRefusal {
  readonly code: string;
  readonly caller?: CallerRequest;
  readonly account?: ClientAccount | undefined;
  /** When the request is expected to be admitted, if known. */
  readonly retryAfter?: Duration;
  /** Whether the connection is closed afterwards. */
  readonly closesConnection?: boolean;
}

/** Refuses requests before they are relayed. */
export class EarlyRefusals {
  readonly #parts: Pick<RelayParts, "knowledge" | "logger" | "recordRefusal">;

  /** @param parts The dependencies. */
  constructor(
    parts: Pick<RelayParts, "knowledge" | "logger" | "recordRefusal">,
  ) {
    this.#parts = parts;
  }

  /**
   * Answers a request with a refusal.
   * @param exchange The request.
   * @param refusal Why it is refused.
   */
  refuse(
    { message, response }: CallerExchange,
    refusal: EarlyRefusal,
  ): void {
    const { code, caller, account, retryAfter } = refusal;
    const { knowledge, logger, recordRefusal } = this.#parts;
    const status = STATUS_BY_CODE.get(code) ?? BAD_REQUEST;
    const revoked = caller?.key && knowledge.revokedKeys.find(caller.key);
    recordRefusal(code, account);
    logger.info(RELAY_SENTENCE.requestRefused, {
      ...(caller === undefined ? {} : { request: caller.id }),
      account: account?.id ?? revoked?.account,
      revoked_in: revoked?.version,
      status,
      refusal: code,
      path: message.url,
      resumes: caller?.resumes,
      configuration: knowledge.routes?.configuration.version,
      retry_after: roundOptional(retryAfter),
      configuration_age: roundOptional(knowledge.proofs.age),
    });
    const answer = { code, ...retryAfterOf(status, retryAfter) };
    if (!message.complete) {
      refuseIncomplete(message, response, { status, refusal: answer });
      return;
    }
    if (refusal.closesConnection === true) {
      response.setHeader("connection", "close");
    }
    writeRefusal(response, status, answer);
  }
}

/** Returns when a refused caller may come back, if it may at all. */
function retryAfterOf(
  status: number,
  retryAfter: Duration | undefined,
): Pick<NodeRefusal, "retryAfterSeconds"> {
  if (retryAfter !== undefined) {
    return { retryAfterSeconds: retryAfter / MILLISECONDS_PER_SECOND };
  }
  return status === UNAVAILABLE
    ? { retryAfterSeconds: RETRY_AFTER_SECONDS }
    : {};
}
