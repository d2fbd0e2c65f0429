import { type EngineId, engineId, type LoadWish } from "@foxtailwind/core";
import {
  LoadPermitsClient,
  type PermitAnswer,
  type PermitMessage,
} from "@foxtailwind/protocol";
import {
  type Channel,
  type ClientDuplexStream,
  credentials,
} from "@grpc/grpc-js";
import type { PermitListener, PermittedLoad } from "./load_permits.ts";
import {
  fromLoadedAdapter,
  toLoadedAdapter,
  toWishList,
} from "./permit_messages.ts";

/** Receives the events of a {@link PermitLink}. */
export interface PermitLinkListener {
  readonly onPermit: (engine: EngineId, adapter: PermittedAdapter) => void;
  readonly onOutstanding: (permits: number) => void;
  readonly onLost: () => void;
}

type PermittedAdapter = Parameters<PermitListener>[0];

/** The stream to the node that holds the permits. */
export class PermitLink {
  readonly address: string;
  readonly #stream: ClientDuplexStream<PermitMessage, PermitAnswer>;
  #hasAnswered = false;
  #isOpen = true;

  /**
   * @param address The holder's address for other nodes.
   * @param channel The channel to the holder.
   * @param listener Receives permits and the stream's end.
   */
  constructor(address: string, channel: Channel, listener: PermitLinkListener) {
    this.address = address;
    const client = new LoadPermitsClient(
      address,
      credentials.createInsecure(),
      { channelOverride: channel },
    );
    this.#stream = client.negotiate();
    this.#stream.on("data", (answer: PermitAnswer) => {
      this.#receive(answer, listener);
    });
    this.#stream.on("error", () => {
      this.#handleLoss(listener);
    });
    this.#stream.on("end", () => {
      this.#handleLoss(listener);
    });
  }

  /** Whether the holder has answered and the stream is open. */
  get isConfirmed(): boolean {
    return this.#isOpen && this.#hasAnswered;
  }

  /**
   * Replaces the wishes of an engine.
   * @param engine The engine.
   * @param wishes Its wishes.
   */
  setWishes(engine: EngineId, wishes: readonly LoadWish[]): void {
    this.#send({ $case: "wishes", value: toWishList(engine, wishes) });
  }

  /**
   * Releases a permit.
   * @param load The load, and whether the adapter was loaded.
   */
  release(load: PermittedLoad & { readonly loaded: boolean }): void {
    const adapter = toLoadedAdapter(load.adapter);
    this.#send({ $case: "ended", value: { ...load, adapter } });
  }

  /**
   * Extends the permit of a load in progress.
   * @param load The load.
   */
  renew(load: PermittedLoad): void {
    const adapter = toLoadedAdapter(load.adapter);
    this.#send({ $case: "renewed", value: { ...load, adapter } });
  }

  /** Ends the stream. */
  close(): void {
    this.#isOpen = false;
    this.#stream.cancel();
  }

  #send(part: PermitMessage["part"]): void {
    if (this.#isOpen) this.#stream.write({ part });
  }

  #receive(answer: PermitAnswer, listener: PermitLinkListener): void {
    const { part } = answer;
    switch (part?.$case) {
      case "permit":
        listener.onPermit(
          engineId(part.value.engine),
          fromLoadedAdapter(part.value.adapter),
        );
        break;
      case "outlook":
        this.#hasAnswered = true;
        listener.onOutstanding(part.value.outstanding);
        break;
      case "refusal":
        this.#handleLoss(listener);
        break;
      case undefined:
        break;
    }
  }

  #handleLoss(listener: PermitLinkListener): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    listener.onLost();
  }
}
