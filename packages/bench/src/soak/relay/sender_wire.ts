import {
  type AnswerFacts,
  type CallerRequest,
  RelayWire,
  type SendTerms,
} from "@foxtailwind/node/relay";
import type { Duration, RequestId } from "@foxtailwind/core";
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import { numberSend } from "./send_times.ts";

/** Names the run of the node that sends a request. */
export const SENDER_HEADER = "x-sent-by";

/** The wire of a node that names its run in what it sends to servers. */
export class SenderWire extends RelayWire {
  readonly #wire: RelayWire;
  readonly #sender: string;

  /**
   * @param wire The wire of the node.
   * @param sender The run of the node.
   */
  constructor(wire: RelayWire, sender: string) {
    super();
    this.#wire = wire;
    this.#sender = sender;
  }

  override readRequest(
    headers: IncomingHttpHeaders,
  ): Result<CallerRequest, string> {
    return this.#wire.readRequest(headers);
  }

  override sendHeaders(
    rawHeaders: readonly string[],
    terms: SendTerms,
  ): string[] {
    return [
      ...this.#wire.sendHeaders(rawHeaders, terms),
      SENDER_HEADER,
      this.#sender,
      ...numberSend(),
    ];
  }

  override probeHeaders(id: RequestId): string[] {
    return [...this.#wire.probeHeaders(id), SENDER_HEADER, this.#sender];
  }

  override forwardHeaders(
    rawHeaders: readonly string[],
    timeLeft: Duration,
  ): string[] {
    return this.#wire.forwardHeaders(rawHeaders, timeLeft);
  }

  override readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerFacts {
    return this.#wire.readAnswer(status, headers);
  }
}
