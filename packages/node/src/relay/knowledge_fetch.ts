import type { Duration } from "@foxtailwind/core";
import { IdleTimeout } from "@foxtailwind/edges";
import type {
  Knowledge as KnowledgeMessage,
  KnowledgePart,
  KnowledgeRequest,
  RelayPeersClient,
} from "@foxtailwind/protocol";
import { type ClientReadableStream, Metadata } from "@grpc/grpc-js";
import { joinKnowledge } from "./knowledge_message.ts";

/** The time after which an answer is given up though it is still arriving. */
const FETCH_LIMIT_MILLISECONDS = 5_000;

/** Options of a {@link KnowledgeFetch}. */
export interface KnowledgeFetchOptions {
  /** States what this node already has. */
  readonly request: KnowledgeRequest;
  /** The time without progress after which the fetch is given up. */
  readonly silenceLimit: Duration;
}

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
   * @param options What to ask for, and how long to wait.
   * @param listener Receives the result, once.
   */
  constructor(
    client: RelayPeersClient,
    { request, silenceLimit }: KnowledgeFetchOptions,
    listener: KnowledgeFetchListener,
  ) {
    this.#call = client.fetchKnowledge(request, new Metadata(), {
      deadline: Date.now() + FETCH_LIMIT_MILLISECONDS,
    });
    this.#idleTimeout = new IdleTimeout(silenceLimit);
    this.#idleTimeout.signal.addEventListener("abort", () => {
      this.cancel();
    });
    this.#call.on("data", (part: KnowledgePart) => {
      this.#parts.push(part);
      this.#idleTimeout.restart(silenceLimit);
    });
    this.#call.on("error", (error: Error) => {
      this.#isFailed = true;
      this.#idleTimeout.clear();
      const { aborted: isSilent } = this.#idleTimeout.signal;
      listener.onFailure(isSilent ? "The peer is silent." : error.message);
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
