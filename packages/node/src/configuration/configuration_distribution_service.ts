import {
  copyForSnapshot,
  type LogOffset,
  logOffset,
  snapshotChunks,
  type StoredRecord,
} from "@foxtailwind/core";
import {
  ConfigurationService,
  type FollowAnswer,
  type FollowRequest,
  type StatusAnswer,
  type StatusRequest,
} from "@foxtailwind/protocol";
import type {
  sendUnaryData,
  ServerUnaryCall,
  ServerWritableStream,
} from "@grpc/grpc-js";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { PeerRegistration } from "../peers/peer_server.ts";
import type { ConfigurationStore } from "./configuration_store.ts";
import { packChunk } from "./snapshot_packing.ts";

const ALIVE_INTERVAL_MILLISECONDS = 300;
const MAXIMUM_BATCH_CHARACTERS = 262_144;

type FollowCall = ServerWritableStream<FollowRequest, FollowAnswer>;

/** Sends configuration records to the peers that follow this node. */
export class ConfigurationDistributionService {
  readonly #store: ConfigurationStore;
  readonly #status: () => StatusAnswer;
  readonly #streams = new Set<FollowerStream>();

  /**
   * @param store The configuration and the records to send.
   * @param status Returns the configuration status of this node.
   */
  constructor(store: ConfigurationStore, status: () => StatusAnswer) {
    this.#store = store;
    this.#status = status;
  }

  /** The number of peers that follow this node. */
  get followerCount(): number {
    return this.#streams.size;
  }

  /** The gRPC service to register. */
  get registration(): PeerRegistration {
    return {
      definition: ConfigurationService,
      implementation: {
        follow: (call: FollowCall) => {
          this.#openStream(call);
        },
        status: (
          _call: ServerUnaryCall<StatusRequest, StatusAnswer>,
          callback: sendUnaryData<StatusAnswer>,
        ) => {
          callback(null, this.#status());
        },
      },
    };
  }

  /** Ends the streams to all followers. */
  close(): void {
    for (const stream of this.#streams) stream.end();
  }

  #openStream(call: FollowCall): void {
    const stream = new FollowerStream(call, this.#store);
    this.#streams.add(stream);
    const removeListener = this.#store.onAdvance(() => {
      stream.sendPending();
    });
    const aliveTimer = setInterval(() => {
      stream.sendAlive();
    }, ALIVE_INTERVAL_MILLISECONDS);
    call.on("close", () => {
      clearInterval(aliveTimer);
      removeListener();
      this.#streams.delete(stream);
    });
    stream.sendAlive();
  }
}

/** Sends records, or a snapshot if those are gone, to one follower. */
class FollowerStream {
  readonly #call: FollowCall;
  readonly #store: ConfigurationStore;
  #next: LogOffset;
  #isSendingSnapshot = false;

  constructor(call: FollowCall, store: ConfigurationStore) {
    this.#call = call;
    this.#store = store;
    this.#next = logOffset(call.request.from);
  }

  /** Sends the records that the follower lacks, unless the stream is full. */
  sendPending(): void {
    const { nextOffset: next } = this.#store.reader;
    if (this.#isSendingSnapshot || this.#call.writableNeedDrain) return;
    if (this.#next >= next) return;
    const records = this.#store.recordsFrom(this.#next);
    if (records === undefined) {
      void this.#sendSnapshot();
      return;
    }
    this.#sendRecords(records);
    this.#next = next;
  }

  /** Sends pending records, then a message that the stream is alive. */
  sendAlive(): void {
    this.sendPending();
    const { nextOffset: next } = this.#store.reader;
    this.#write({
      $case: "alive",
      value: { next, ageMilliseconds: this.#store.age() },
    });
  }

  /** Ends the stream. */
  end(): void {
    this.#call.end();
  }

  #sendRecords(records: readonly StoredRecord[]): void {
    const ageMilliseconds = this.#store.age();
    let from = this.#next;
    for (const batch of splitIntoBatches(records)) {
      const next = logOffset((batch.at(-1)?.offset ?? from) + 1);
      this.#write({
        $case: "records",
        value: { from, records: [...batch], next, ageMilliseconds },
      });
      from = next;
    }
  }

  /** Sends one chunk per event loop turn so that nothing else waits long. */
  async #sendSnapshot(): Promise<void> {
    this.#isSendingSnapshot = true;
    const copy = copyForSnapshot(this.#store.reader.configuration);
    for (const chunk of snapshotChunks(copy)) {
      if (this.#call.writableEnded || this.#call.destroyed) return;
      this.#write({ $case: "state", value: { data: packChunk(chunk) } });
      await nextTurn();
    }
    this.#next = logOffset(copy.covers + 1);
    this.#isSendingSnapshot = false;
    this.sendPending();
  }

  #write(part: NonNullable<FollowAnswer["part"]>): void {
    if (!this.#call.writableEnded) this.#call.write({ part });
  }
}

function splitIntoBatches(
  records: readonly StoredRecord[],
): readonly (readonly StoredRecord[])[] {
  const batches: StoredRecord[][] = [];
  let characters = MAXIMUM_BATCH_CHARACTERS;
  for (const record of records) {
    if (characters + record.data.length > MAXIMUM_BATCH_CHARACTERS) {
      batches.push([]);
      characters = 0;
    }
    batches.at(-1)?.push(record);
    characters += record.data.length;
  }
  return batches;
}
