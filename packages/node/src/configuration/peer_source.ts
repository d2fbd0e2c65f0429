import {
  elapsed,
  type Instant,
  logOffset,
  milliseconds,
  SnapshotRestorer,
} from "@foxtailwind/core";
import { ConfigurationClient, type FollowAnswer } from "@foxtailwind/protocol";
import { type ClientReadableStream, credentials } from "@grpc/grpc-js";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { ConfigurationStore } from "./configuration_store.ts";
import { unpackChunk } from "./snapshot_packing.ts";

const CHECK_MILLISECONDS = 250;
const SILENCE_LIMIT = milliseconds(1_500);

/** Receives records, or a snapshot if those are gone, from other nodes. */
export class PeerSource {
  readonly #channels: PeerChannels;
  readonly #store: ConfigurationStore;
  readonly #clock: SteadyClock;
  #call: ClientReadableStream<FollowAnswer> | undefined;

  /**
   * @param channels The connections to the peers.
   * @param parts The store to fill and the clock.
   */
  constructor(channels: PeerChannels, parts: {
    readonly store: ConfigurationStore;
    readonly clock: SteadyClock;
  }) {
    this.#channels = channels;
    this.#store = parts.store;
    this.#clock = parts.clock;
  }

  /**
   * Follows a peer until the stream ends, nothing arrives for too long, or the
   * peer shall no longer be followed.
   * @param address The peer's gRPC address.
   * @param shouldContinue Checked periodically: whether to keep following.
   */
  async follow(
    address: string,
    shouldContinue: (since: Instant) => boolean,
  ): Promise<void> {
    const client = new ConfigurationClient(
      address,
      credentials.createInsecure(),
      { channelOverride: this.#channels.getChannel(address) },
    );
    const call = client.follow({ from: this.#store.reader.nextOffset });
    this.#call = call;
    const since = this.#clock.now();
    let lastReceivedAt = since;
    const receiver = new AnswerReceiver(this.#store);
    call.on("data", (answer: FollowAnswer) => {
      lastReceivedAt = this.#clock.now();
      if (!receiver.receive(answer)) call.cancel();
    });
    const check = setInterval(() => {
      const isSilent =
        elapsed(lastReceivedAt, this.#clock.now()) > SILENCE_LIMIT;
      if (isSilent || !shouldContinue(since)) call.cancel();
    }, CHECK_MILLISECONDS);
    await waitForEnd(call);
    clearInterval(check);
  }

  /** Stops following the current peer. */
  stop(): void {
    this.#call?.cancel();
  }
}

function waitForEnd(call: ClientReadableStream<FollowAnswer>): Promise<void> {
  return new Promise((resolve) => {
    call.on("error", () => {
      resolve();
    });
    call.on("end", () => {
      resolve();
    });
  });
}

/** Applies the parts of a peer's answer to the store. */
class AnswerReceiver {
  readonly #store: ConfigurationStore;
  #restorer: SnapshotRestorer | undefined;

  constructor(store: ConfigurationStore) {
    this.#store = store;
  }

  /** Handles one part and returns whether to keep receiving. */
  receive({ part }: FollowAnswer): boolean {
    switch (part?.$case) {
      case "records":
        return this.#store.addRange({
          from: logOffset(part.value.from),
          records: part.value.records.map(({ offset, data }) => ({
            offset: logOffset(offset),
            data,
          })),
          age: milliseconds(part.value.ageMilliseconds),
        });
      case "state":
        return this.#receiveChunk(part.value.data);
      case "alive":
        if (part.value.next <= this.#store.reader.nextOffset) {
          this.#store.recordTailReached(
            milliseconds(part.value.ageMilliseconds),
          );
        }
        return true;
      case undefined:
        return true;
    }
  }

  #receiveChunk(data: string): boolean {
    const chunk = unpackChunk(data);
    if (chunk === undefined) return false;
    this.#restorer ??= new SnapshotRestorer();
    if (this.#restorer.push(chunk).isErr()) return false;
    if (!this.#restorer.isComplete) return true;
    const restored = this.#restorer.finish();
    this.#restorer = undefined;
    if (restored.isErr()) return false;
    this.#store.adopt(restored.value);
    return true;
  }
}
