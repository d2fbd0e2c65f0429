import { IdleTimeout } from "@foxtailwind/edges";
import type {
  Knowledge as KnowledgeMessage,
  KnowledgePart,
  KnowledgeRequest,
  RelayPeersClient,
} from "@foxtailwind/protocol";
import { type ClientReadableStream, Metadata } from "@grpc/grpc-js";
import { joinKnowledge } from "./knowledge_message.ts";

/**
 * The time without any part of the answer after which the peer counts as
 * silent. It begins to answer within a few milliseconds, or within about 200 on
 * a link that loses a packet.
 */
const IDLE_TIMEOUT_MILLISECONDS = 300;
/** The time after which an answer is given up though it is still arriving. */
const FETCH_LIMIT_MILLISECONDS = 5_000;

/** Receives the result of a {@link KnowledgeFetch}. */
export interface KnowledgeFetchListener {
  /** The peer has answered. */
  readonly onAnswer: (answer: KnowledgeMessage) => void;
  /** The fetch has failed or was given up. */
  readonly onFailure: (detail: string) => void;
}

/** One fetch of what a peer knows, in parts. */
export class KnowledgeFetch {
  readonly #call: ClientReadableStream<KnowledgePart>;
  readonly #idleTimeout: IdleTimeout;
  #isFailed = false;
  readonly #parts: KnowledgePart[] = [];

  /**
   * @param client The client of the peer.
   * @param request States what this node already has.
   * @param listener Receives the result, once.
   */
  constructor(
    client: RelayPeersClient,
    request: KnowledgeRequest,
    listener: KnowledgeFetchListener,
  ) {
    this.#call = client.fetchKnowledge(request, new Metadata(), {
      deadline: Date.now() + FETCH_LIMIT_MILLISECONDS,
    });
    this.#idleTimeout = new IdleTimeout(IDLE_TIMEOUT_MILLISECONDS);
    this.#idleTimeout.signal.addEventListener("abort", () => {
      this.cancel();
    });
    this.#call.on("data", (part: KnowledgePart) => {
      this.#parts.push(part);
      this.#idleTimeout.restart(IDLE_TIMEOUT_MILLISECONDS);
    });
    this.#call.on("error", (error: Error) => {
      this.#isFailed = true;
      this.#idleTimeout.clear();
      listener.onFailure(error.message);
    });
    // A failed call ends, too.
    this.#call.on("end", () => {
      if (this.#isFailed) return;
      this.#idleTimeout.clear();
      listener.onAnswer(joinKnowledge(this.#parts));
    });
  }

  /** Gives up, unless the answer has arrived. */
  cancel(): void {
    this.#call.cancel();
  }
}
