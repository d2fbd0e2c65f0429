import fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import type { CommonFaults } from "./common_faults.ts";
import { refusal, sendRefusal } from "./refusal.ts";

/** The address on which a stand-in listens. */
export interface ListenOptions {
  /** An IP address in 127.0.0.0/8. */
  readonly host?: string;
  /** 0 for any free port. */
  readonly port?: number;
}

const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;
const KEEP_ALIVE_MILLISECONDS = 120_000;

/**
 * The prefix of the paths with which tests control a stand-in. Faults do not
 * apply to them.
 */
export const CONTROL_ROUTE_PREFIX = "/standin/";

const LOOPBACK_ADDRESS = /^127(\.\d{1,3}){3}$/;

/**
 * A small server that replaces an engine, a plain service or a part of the
 * platform in tests.
 */
export abstract class StandIn<Faults extends CommonFaults> {
  protected readonly application: FastifyInstance = fastify({
    bodyLimit: MAXIMUM_BODY_BYTES,
    forceCloseConnections: true,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
  });
  readonly #faultsSchema: z.ZodType<Faults>;
  #faults: Faults;
  #address: string | undefined;
  #releaseCallbacks: (() => void)[] = [];

  /** @param faultsSchema The schema of the faults. `{}` parses to no faults. */
  constructor(faultsSchema: z.ZodType<Faults>) {
    this.#faultsSchema = faultsSchema;
    this.#faults = faultsSchema.parse({});
    this.#registerControlRoutes();
    this.application.addHook("onRequest", async (request, reply) => {
      if (!request.url.startsWith(CONTROL_ROUTE_PREFIX)) {
        await this.#applyCommonFaults(reply);
      }
    });
  }

  /** The current faults. */
  get faults(): Faults {
    return this.#faults;
  }

  /** The base address, `http://ip:port`. */
  get address(): string {
    if (this.#address === undefined) {
      throw new Error("Cannot read the address: the stand-in is not listening");
    }
    return this.#address;
  }

  /**
   * Starts listening on a loopback address.
   * @param options The address to listen on.
   * @returns The base address.
   */
  async listen(options: ListenOptions = {}): Promise<string> {
    const { host = "127.0.0.1", port = 0 } = options;
    if (!LOOPBACK_ADDRESS.test(host)) {
      throw new Error(`Cannot listen on "${host}": it is not in 127.0.0.0/8`);
    }
    this.#address = await this.application.listen({ host, port });
    return this.#address;
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    this.#releaseHeldRequests();
    await this.application.close();
  }

  /**
   * Changes some faults and keeps the others.
   * @param changes The faults to change.
   * @returns The current faults.
   */
  setFaults(changes: Partial<Faults>): Faults {
    this.#faults = this.#faultsSchema.parse({ ...this.#faults, ...changes });
    if (this.#faults.outage !== "hang") this.#releaseHeldRequests();
    this.onFaultsChanged();
    return this.#faults;
  }

  /**
   * Reads the counters of past events, for tests.
   * @returns The counters.
   */
  abstract readCounters(): object;

  /** Called after each change of the faults. */
  protected onFaultsChanged(): void {
    // Most stand-ins read their faults only when they handle a request.
  }

  /**
   * Consumes one remaining occurrence of a fault.
   * @param name A fault that counts its remaining occurrences.
   * @returns Whether the fault occurs now.
   */
  protected consumeFault(name: keyof Faults): boolean {
    const remaining = this.#faults[name];
    if (typeof remaining !== "number" || remaining <= 0) return false;
    this.#faults = { ...this.#faults, [name]: remaining - 1 };
    return true;
  }

  async #applyCommonFaults(reply: FastifyReply): Promise<void> {
    const { delayMilliseconds } = this.#faults;
    if (delayMilliseconds > 0) await delay(delayMilliseconds);
    while (this.#faults.outage === "hang") {
      await new Promise<void>((resolve) =>
        this.#releaseCallbacks.push(resolve)
      );
    }
    if (this.#faults.outage === "drop") dropConnection(reply);
    if (this.#faults.outage === "refuse") {
      sendRefusal(reply, refusal("unavailable", "The stand-in is out"));
    }
  }

  #registerControlRoutes(): void {
    this.application.post("/standin/faults", (request, reply) => {
      try {
        return this.setFaults(request.body as Partial<Faults>);
      } catch (error) {
        if (!(error instanceof z.ZodError)) throw error;
        return sendRefusal(reply, refusal("invalid", z.prettifyError(error)));
      }
    });
    this.application.get("/standin/faults", () => this.#faults);
    this.application.get("/standin/counters", () => this.readCounters());
  }

  #releaseHeldRequests(): void {
    const callbacks = this.#releaseCallbacks;
    this.#releaseCallbacks = [];
    for (const release of callbacks) release();
  }
}

/**
 * Closes the connection of a request without a response.
 * @param reply The HTTP response, which is not sent.
 * @returns The reply, for a handler to return.
 */
export function dropConnection(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.socket?.destroy();
  return reply;
}
