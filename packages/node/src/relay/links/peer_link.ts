import type {
  AdapterGrant,
  AdapterUse,
  ExchangeAnswer,
  ExchangeQuestion,
  LinkAnswer,
  LinkQuestion,
  RelayPeersClient,
} from "@foxtailwind/protocol";
import type { ClientDuplexStream } from "@grpc/grpc-js";

/** Receives what the owner answers to a use that was asked for. */
export interface UseHandler {
  /** Called when the owner has the request, and the use has to wait there. */
  readonly onQueued: () => void;
  /** Called when the use is granted or refused. */
  readonly onGrant: (grant: AdapterGrant) => void;
  /** Called once when the owner has ended the use. */
  readonly onEnd: () => void;
  /** Called once when the link is lost. */
  readonly onLost: () => void;
}

/** A use that was asked for on a link. */
export interface LinkedUse {
  /** Ends the use. */
  readonly cancel: () => void;
}

/** Handles the answers to one question. */
interface Pending {
  readonly onAnswer: (content: LinkAnswer["content"]) => void;
  readonly onLost: () => void;
}

/**
 * Asks one peer for exchanges and for uses of its engines. All questions share
 * one call, which costs less processor time than a call for each.
 */
export class PeerLink {
  readonly #call: ClientDuplexStream<LinkQuestion, LinkAnswer>;
  readonly #onLost: () => void;
  readonly #pending = new Map<number, Pending>();
  #lastNumber = 0;
  #isLost = false;

  /**
   * @param client The client of the peer.
   * @param onLost Called once when the link is lost or closed.
   */
  constructor(client: RelayPeersClient, onLost: () => void) {
    this.#onLost = onLost;
    this.#call = client.link();
    this.#call.on("data", (answer: LinkAnswer) => {
      this.#pending.get(answer.number)?.onAnswer(answer.content);
    });
    this.#call.on("error", () => {
      this.#lose();
    });
    this.#call.on("end", () => {
      this.#lose();
    });
  }

  /**
   * Exchanges digests.
   * @param question What to ask.
   * @returns The answer, or `undefined` if the link is lost before it.
   */
  exchange(question: ExchangeQuestion): Promise<ExchangeAnswer | undefined> {
    return new Promise((resolve) => {
      const number = this.#add({
        onAnswer: (content) => {
          this.#pending.delete(number);
          resolve(content?.$case === "exchange" ? content.value : undefined);
        },
        onLost: () => {
          resolve(undefined);
        },
      });
      this.#write(number, { $case: "exchange", value: question });
    });
  }

  /**
   * Asks for the use of an adapter or a model.
   * @param use What to use.
   * @param handler Receives the answers.
   * @returns The use.
   */
  requestUse(use: AdapterUse, handler: UseHandler): LinkedUse {
    const number = this.#add({
      onAnswer: (content) => {
        if (content?.$case === "queued") handler.onQueued();
        if (content?.$case === "grant") handler.onGrant(content.value);
        if (content?.$case !== "end") return;
        this.#pending.delete(number);
        handler.onEnd();
      },
      onLost: handler.onLost,
    });
    this.#write(number, { $case: "use", value: use });
    return {
      cancel: () => {
        if (!this.#pending.delete(number)) return;
        this.#write(number, { $case: "cancel", value: true });
      },
    };
  }

  /** Closes the link, which ends all uses that were granted on it. */
  close(): void {
    this.#lose();
    this.#call.cancel();
  }

  #add(pending: Pending): number {
    this.#lastNumber += 1;
    this.#pending.set(this.#lastNumber, pending);
    return this.#lastNumber;
  }

  #write(number: number, content: LinkQuestion["content"]): void {
    if (!this.#isLost) this.#call.write({ number, content });
  }

  #lose(): void {
    if (this.#isLost) return;
    this.#isLost = true;
    this.#onLost();
    const lost = [...this.#pending.values()];
    this.#pending.clear();
    for (const { onLost } of lost) onLost();
  }
}
