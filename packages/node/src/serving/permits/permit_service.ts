import { type EngineId, engineId } from "@foxtailwind/core";
import {
  LoadPermitsService,
  type PermitAnswer,
  type PermitMessage,
} from "@foxtailwind/protocol";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import type { PeerRegistration } from "../../peers/peer_server.ts";
import type { NodeLoadPermits } from "./node_load_permits.ts";
import type { PermitHolder } from "./permit_holder.ts";
import {
  fromLoadedAdapter,
  fromWishList,
  toLoadedAdapter,
} from "./permit_messages.ts";

type PermitStream = ServerDuplexStream<PermitMessage, PermitAnswer>;

/** Serves the permits that this node holds to other nodes. */
export class PermitService {
  readonly #permits: NodeLoadPermits;
  readonly #streams = new Set<PermitStream>();

  /** @param permits This node's load permits. */
  constructor(permits: NodeLoadPermits) {
    this.#permits = permits;
  }

  /** The service's registration with the peer server. */
  get registration(): PeerRegistration {
    return {
      definition: LoadPermitsService,
      implementation: {
        negotiate: (stream: PermitStream) => {
          this.#streams.add(stream);
          stream.on("close", () => {
            this.#streams.delete(stream);
          });
          new PermitSession(stream, this.#permits).start();
        },
      },
    };
  }

  /** Ends all streams, so that the server can stop. */
  close(): void {
    for (const stream of this.#streams) stream.end();
  }
}

/** The stream of one node. */
class PermitSession {
  readonly #stream: PermitStream;
  readonly #permits: NodeLoadPermits;
  readonly #engines = new Set<EngineId>();

  constructor(stream: PermitStream, permits: NodeLoadPermits) {
    this.#stream = stream;
    this.#permits = permits;
  }

  start(): void {
    this.#stream.on("data", (message: PermitMessage) => {
      this.#receive(message);
    });
    this.#stream.on("end", () => {
      this.#removeEngines();
      this.#stream.end();
    });
    this.#stream.on("error", () => {
      this.#removeEngines();
    });
  }

  #receive(message: PermitMessage): void {
    const holder = this.#permits.holder;
    if (holder === undefined) {
      const reason = "The permits are not held here.";
      this.#send({ $case: "refusal", value: { reason } });
      this.#stream.end();
      return;
    }
    this.#apply(holder, message);
    this.#send({
      $case: "outlook",
      value: {
        ...this.#permits.limits,
        loadMilliseconds: 0,
        outstanding: holder.outstanding,
      },
    });
  }

  #apply(holder: PermitHolder, message: PermitMessage): void {
    const { part } = message;
    switch (part?.$case) {
      case "wishes": {
        const engine = engineId(part.value.engine);
        this.#engines.add(engine);
        holder.setWishes(engine, fromWishList(part.value), (adapter) => {
          this.#send({
            $case: "permit",
            value: { engine, adapter: toLoadedAdapter(adapter) },
          });
        });
        break;
      }
      case "ended":
        holder.release({
          engine: engineId(part.value.engine),
          adapter: fromLoadedAdapter(part.value.adapter),
          loaded: part.value.loaded,
        });
        break;
      case "renewed":
        holder.renew({
          engine: engineId(part.value.engine),
          adapter: fromLoadedAdapter(part.value.adapter),
        });
        break;
      case undefined:
        break;
    }
  }

  #send(part: PermitAnswer["part"]): void {
    if (this.#stream.writable) this.#stream.write({ part });
  }

  #removeEngines(): void {
    for (const engine of this.#engines) {
      this.#permits.holder?.removeEngine(engine);
    }
    this.#engines.clear();
  }
}
