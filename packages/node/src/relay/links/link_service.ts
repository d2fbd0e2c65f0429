import type {
  AdapterGrant,
  AdapterUse,
  ExchangeAnswer,
  ExchangeQuestion,
  LinkAnswer,
  LinkQuestion,
} from "@foxtailwind/protocol";
import type { ServerDuplexStream } from "@grpc/grpc-js";

/** A peer's request for a use, and the way to answer it. */
export interface UseCall {
  readonly request: AdapterUse;
  /** Aborted when the peer ends the use or its link is lost. */
  readonly signal: AbortSignal;
  /** Tells the peer that the use waits here. */
  readonly notifyQueued: () => void;
  /** Grants or refuses the use. */
  readonly write: (grant: AdapterGrant) => void;
  /** Tells the peer that the use has ended. */
  readonly end: () => void;
}

/** Answers what peers ask on their links. */
export interface LinkHandlers {
  readonly answerExchange: (question: ExchangeQuestion) => ExchangeAnswer;
  readonly serveUse: (call: UseCall) => void;
}

/**
 * Serves the link of one peer until it is lost.
 * @param call The peer's call.
 * @param handlers Answer its questions.
 */
export function serveLink(
  call: ServerDuplexStream<LinkQuestion, LinkAnswer>,
  handlers: LinkHandlers,
): void {
  const uses = new Map<number, AbortController>();
  const endAll = () => {
    for (const use of uses.values()) use.abort();
    uses.clear();
  };
  const write = (number: number, content: LinkAnswer["content"]) => {
    if (!call.cancelled) call.write({ number, content });
  };
  const serveUse = (number: number, request: AdapterUse) => {
    const use = new AbortController();
    uses.set(number, use);
    handlers.serveUse({
      request,
      signal: use.signal,
      notifyQueued: () => {
        if (uses.has(number)) write(number, { $case: "queued", value: true });
      },
      write: (grant) => {
        if (uses.has(number)) write(number, { $case: "grant", value: grant });
      },
      end: () => {
        if (uses.delete(number)) write(number, { $case: "end", value: true });
      },
    });
  };
  call.on("data", ({ number, content }: LinkQuestion) => {
    switch (content?.$case) {
      case "exchange":
        write(number, {
          $case: "exchange",
          value: handlers.answerExchange(content.value),
        });
        break;
      case "use":
        serveUse(number, content.value);
        break;
      case "cancel":
        uses.get(number)?.abort();
        uses.delete(number);
        break;
      case undefined:
        break;
    }
  });
  call.on("error", endAll);
  call.once("cancelled", endAll);
  call.once("close", endAll);
  call.once("end", () => {
    endAll();
    call.end();
  });
}
