import {
  adapterReferenceSchema,
  cancelCallSchema,
  engineOrderSchema,
  exportedKvCacheSchema,
  type GenerateCall,
  generateCallSchema,
} from "@foxtailwind/edges";
import { type RequestId, requestId } from "@foxtailwind/core";
import type { FastifyReply, FastifyRequest } from "fastify";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import { parseInput } from "../shared/parse_input.ts";
import { SeededRandom } from "../shared/random.ts";
import { refusal, sendRefusal } from "../shared/refusal.ts";
import { CONTROL_PREFIX, dropConnection, StandIn } from "../shared/stand_in.ts";
import { type FakeEngineCounters, zeroCounters } from "./counters.ts";
import { type BootFaults, EngineBoot } from "./engine_boot.ts";
import { exportKvCache } from "./kv_cache.ts";
import {
  type FakeEngineFaults,
  fakeEngineFaultsSchema,
  type FakeEngineSettings,
  fakeEngineSettingsSchema,
} from "./settings.ts";

const afterSchema = z.object({ after: z.coerce.number().default(0) });
const requestSchema = z.object({ request: z.string().transform(requestId) });
const residentSchema = z.object({ adapters: z.array(adapterReferenceSchema) });

/** After so long, a request that ends an engine does so, in milliseconds. */
const CRASH_MILLISECONDS = 20;

/** Takes the place of a model engine that batches continuously. */
export class FakeEngine extends StandIn<FakeEngineFaults> {
  readonly #settings: FakeEngineSettings;
  readonly #random: SeededRandom;
  readonly #counters = zeroCounters();
  readonly #startsByRequest = new Map<RequestId, number>();
  #boot: EngineBoot;
  #downUntil = 0;

  /** @param settings Settings that differ from the defaults. */
  constructor(settings: Partial<FakeEngineSettings> = {}) {
    super(fakeEngineFaultsSchema);
    this.#settings = fakeEngineSettingsSchema.parse(settings);
    this.#random = new SeededRandom(this.#settings.seed);
    this.#boot = this.#startBoot();
    this.application.addHook("onRequest", (request, reply, done) => {
      const isDown = performance.now() < this.#downUntil;
      if (isDown && !request.url.startsWith(CONTROL_PREFIX)) {
        dropConnection(reply);
        return;
      }
      done();
    });
    this.#serveGenerations();
    this.#serveOrders();
    this.#serveReports();
    this.#serveKvCaches();
  }

  /** How often each request was started here, restarts included. */
  get startsByRequest(): ReadonlyMap<RequestId, number> {
    return this.#startsByRequest;
  }

  override readCounters(): FakeEngineCounters {
    return { ...this.#counters };
  }

  override async close(): Promise<void> {
    this.#boot.stop();
    await super.close();
  }

  /** Restarts cold: all is lost, and for a while nothing is answered. */
  restart(): void {
    this.#boot.stop();
    this.#counters.restarts += 1;
    this.#boot = this.#startBoot();
    this.#downUntil = performance.now() + this.#settings.restartMilliseconds;
  }

  /**
   * Makes adapters resident without an order, to set a test up.
   * @param adapters The adapters; they need no free slot.
   */
  placeAdapters(
    adapters: z.infer<typeof residentSchema>["adapters"],
  ): void {
    for (const adapter of adapters) {
      this.#boot.orders.slots.finishLoad(adapter, true);
    }
  }

  protected override onFaultsChanged(): void {
    this.#boot.wake();
  }

  #startBoot(): EngineBoot {
    return new EngineBoot({
      bootId: `${this.#settings.id}-boot-${this.#counters.restarts + 1}`,
      settings: this.#settings,
      counters: this.#counters,
      random: this.#random,
      faults: this.#bootFaults(),
      countStart: (request) => {
        this.#countStart(request);
      },
    });
  }

  #bootFaults(): BootFaults {
    return {
      drawLoadFaults: () => ({
        extraMilliseconds: this.faults.extraLoadMilliseconds,
        fails: this.strikes("failNextLoads") ||
          this.#random.happens(this.faults.failLoadProbability),
      }),
      drawWrongAdapter: () => this.strikes("wrongAdapterNextGenerations"),
      drawDropAfterTokens: () =>
        this.strikes("dropNextStreams")
          ? this.faults.dropStreamAfterTokens
          : undefined,
      readFrameFaults: () => ({
        duplicateProbability: this.faults.duplicateFrameProbability,
        misorderProbability: this.faults.misorderFrameProbability,
      }),
      isFrozen: () => this.faults.outage === "hang",
      isLeaving: () => this.faults.leaving,
    };
  }

  #countStart(request: RequestId): void {
    const starts = (this.#startsByRequest.get(request) ?? 0) + 1;
    this.#startsByRequest.set(request, starts);
    if (starts > 1) this.#counters.repeatedRequests += 1;
  }

  #serveGenerations(): void {
    this.application.post("/v1/generate", (request, reply) => {
      const call = parseInput(generateCallSchema, request.body);
      if (call.isErr()) return sendRefusal(reply, call.error);
      if (this.#crashesOn(call.value)) {
        setTimeout(() => {
          this.restart();
        }, CRASH_MILLISECONDS);
      }
      return this.#boot.generate(call.value, reply);
    });
    this.application.post("/v1/cancel", (request, reply) => {
      const call = parseInput(cancelCallSchema, request.body);
      if (call.isErr()) return sendRefusal(reply, call.error);
      const { attempt } = call.value;
      const now = performance.now();
      const cancelled = this.#boot.generations.cancel(call.value.request, {
        attempt,
        now,
      });
      return { cancelled };
    });
  }

  #crashesOn({ messages }: GenerateCall): boolean {
    const { crashOnText } = this.faults;
    return crashOnText !== "" &&
      messages.some(({ content }) => content.includes(crashOnText));
  }

  #serveOrders(): void {
    this.application.post("/v1/orders", (request, reply) => {
      return this.#order(request, reply);
    });
    this.application.post("/standin/restart", () => {
      this.restart();
      return { restarts: this.#counters.restarts };
    });
    this.application.post("/standin/adapters", (request, reply) => {
      const body = parseInput(residentSchema, request.body);
      if (body.isErr()) return sendRefusal(reply, body.error);
      this.placeAdapters(body.value.adapters);
      return { placed: body.value.adapters.length };
    });
  }

  async #order(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const order = parseInput(engineOrderSchema, request.body);
    if (order.isErr()) return sendRefusal(reply, order.error);
    const { orders } = this.#boot;
    const result = await orders.carryOut(order.value, performance.now());
    if (this.strikes("loseNextOrderAnswers")) return dropConnection(reply);
    return result.isOk() ? {} : sendRefusal(reply, result.error);
  }

  #serveReports(): void {
    this.application.get("/standin/starts", () => {
      return Object.fromEntries(this.#startsByRequest);
    });
    this.application.get("/v1/state", () => this.#boot.readState());
    this.application.get("/v1/load", () => {
      return this.#boot.readLoad(performance.now());
    });
    this.application.get("/v1/cache-events", (request, reply) => {
      const query = parseInput(afterSchema, request.query);
      if (query.isErr()) return sendRefusal(reply, query.error);
      const now = performance.now();
      return { events: this.#boot.cacheEvents.read(query.value.after, now) };
    });
  }

  #serveKvCaches(): void {
    this.application.get("/v1/kv-cache", async (request, reply) => {
      const query = parseInput(requestSchema, request.query);
      if (query.isErr()) return sendRefusal(reply, query.error);
      const generation = this.#boot.table.find(query.value.request);
      const isLive = generation !== undefined &&
        generation.ending === undefined;
      if (!isLive || !generation.prefilled) {
        return sendRefusal(reply, refusal("not_found", "No such KV cache"));
      }
      generation.exported = true;
      await this.#transferKv(generation.promptTokens + generation.generated);
      return exportKvCache(generation);
    });
    this.application.post("/v1/kv-cache", async (request, reply) => {
      const body = parseInput(exportedKvCacheSchema, request.body);
      if (body.isErr()) return sendRefusal(reply, body.error);
      const added = this.#boot.generations.imports.add(body.value);
      if (added.isErr()) return sendRefusal(reply, added.error);
      await this.#transferKv(added.value.tokens);
      return {};
    });
  }

  async #transferKv(tokens: number): Promise<void> {
    await delay(tokens * this.#settings.kvTransferMillisecondsPerToken);
  }
}
