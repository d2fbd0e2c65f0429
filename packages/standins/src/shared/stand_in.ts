import fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import type { CommonFaults } from "./common_faults.ts";
import { refusal, sendRefusal } from "./refusal.ts";

/** Where a stand-in listens. */
export interface ListenOptions {
  /** An address in 127.0.0.0/8. */
  readonly host?: string;
  /** 0 for any free port. */
  readonly port?: number;
}

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const KEEP_ALIVE_MILLISECONDS = 120_000;

/** The paths by which tests control a stand-in; faults do not strike there. */
export const CONTROL_PREFIX = "/standin/";

const LOOPBACK = /^127(\.\d{1,3}){3}$/;

/** A small server that takes the place of a part of the platform in tests. */
export abstract class StandIn<Faults extends CommonFaults> {
  protected readonly application: FastifyInstance = fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    forceCloseConnections: true,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
  });
  readonly #faultsSchema: z.ZodType<Faults>;
  #faults: Faults;
  #address: string | undefined;
  #hanging: (() => void)[] = [];

  /** @param faultsSchema The faults; parsing `{}` gives none. */
  constructor(faultsSchema: z.ZodType<Faults>) {
    this.#faultsSchema = faultsSchema;
    this.#faults = faultsSchema.parse({});
    this.#serveControl();
    this.application.addHook("onRequest", async (request, reply) => {
      if (!request.url.startsWith(CONTROL_PREFIX)) {
        await this.#strikeCommonFaults(reply);
      }
    });
  }

  /** The faults in force. */
  get faults(): Faults {
    return this.#faults;
  }

  /** The base address, `http://ip:port`. */
  get address(): string {
    if (this.#address === undefined) {
      throw new Error("Cannot read the address: the stand-in does not listen");
    }
    return this.#address;
  }

  /**
   * Starts to listen on loopback.
   * @param options Where.
   * @returns The base address.
   */
  async listen(options: ListenOptions = {}): Promise<string> {
    const { host = "127.0.0.1", port = 0 } = options;
    if (!LOOPBACK.test(host)) {
      throw new Error(`Cannot listen on "${host}": it is not in 127.0.0.0/8`);
    }
    this.#address = await this.application.listen({ host, port });
    return this.#address;
  }

  /** Closes all connections and stops. */
  async close(): Promise<void> {
    this.#releaseHanging();
    await this.application.close();
  }

  /**
   * Changes some faults and keeps the others.
   * @param changes The faults to change.
   * @returns The faults in force.
   */
  setFaults(changes: Partial<Faults>): Faults {
    this.#faults = this.#faultsSchema.parse({ ...this.#faults, ...changes });
    if (this.#faults.outage !== "hang") this.#releaseHanging();
    this.onFaultsChanged();
    return this.#faults;
  }

  /**
   * Reads what happened so far, for tests.
   * @returns The counters.
   */
  abstract readCounters(): object;

  /** Follows a change of faults. */
  protected onFaultsChanged(): void {
    // Most stand-ins look at their faults only when they are asked.
  }

  /**
   * Uses up one of a fault's next occasions.
   * @param name The fault, one that counts occasions.
   * @returns Whether the fault strikes now.
   */
  protected strikes(name: keyof Faults): boolean {
    const left = this.#faults[name];
    if (typeof left !== "number" || left <= 0) return false;
    this.#faults = { ...this.#faults, [name]: left - 1 };
    return true;
  }

  async #strikeCommonFaults(reply: FastifyReply): Promise<void> {
    const { delayMilliseconds } = this.#faults;
    if (delayMilliseconds > 0) await delay(delayMilliseconds);
    while (this.#faults.outage === "hang") {
      await new Promise<void>((resolve) => this.#hanging.push(resolve));
    }
    if (this.#faults.outage === "drop") dropConnection(reply);
    if (this.#faults.outage === "refuse") {
      sendRefusal(reply, refusal("unavailable", "The stand-in is out"));
    }
  }

  #serveControl(): void {
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

  #releaseHanging(): void {
    const released = this.#hanging;
    this.#hanging = [];
    for (const release of released) release();
  }
}

/**
 * Closes the connection of a request without an answer.
 * @param reply The answer that is not sent.
 * @returns The reply, for a handler to return.
 */
export function dropConnection(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.socket?.destroy();
  return reply;
}
