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

/** Takes records and, where they are gone, the state from other nodes. */
export class PeerSource {
  readonly #channels: PeerChannels;
  readonly #store: ConfigurationStore;
  readonly #clock: SteadyClock;
  #call: ClientReadableStream<FollowAnswer> | undefined;

  constructor(channels: PeerChannels, parts: {
    readonly store: ConfigurationStore;
    readonly clock: SteadyClock;
  }) {
    this.#channels = channels;
    this.#store = parts.store;
    this.#clock = parts.clock;
  }

  /**
   * Follows a peer until it ends, falls silent, or is not to be followed on.
   * @param address The peer's address for gRPC.
   * @param stays Tells now and then whether to follow on.
   */
  async follow(
    address: string,
    stays: (since: Instant) => boolean,
  ): Promise<void> {
    const client = new ConfigurationClient(
      address,
      credentials.createInsecure(),
      { channelOverride: this.#channels.channel(address) },
    );
    const call = client.follow({ from: this.#store.reader.nextOffset });
    this.#call = call;
    const since = this.#clock.now();
    let heardAt = since;
    const receiver = new AnswerReceiver(this.#store);
    call.on("data", (answer: FollowAnswer) => {
      heardAt = this.#clock.now();
      if (!receiver.receive(answer)) call.cancel();
    });
    const check = setInterval(() => {
      const silent = elapsed(heardAt, this.#clock.now()) > SILENCE_LIMIT;
      if (silent || !stays(since)) call.cancel();
    }, CHECK_MILLISECONDS);
    await waitForEnd(call);
    clearInterval(check);
  }

  /** Ends the following in progress. */
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

class AnswerReceiver {
  readonly #store: ConfigurationStore;
  #restorer: SnapshotRestorer | undefined;

  constructor(store: ConfigurationStore) {
    this.#store = store;
  }

  /** Takes one part; answers whether the rest is wanted. */
  receive({ part }: FollowAnswer): boolean {
    switch (part?.$case) {
      case "records":
        return this.#store.take({
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
          this.#store.confirm(milliseconds(part.value.ageMilliseconds));
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
