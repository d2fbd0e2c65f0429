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
import {
  CONTROL_ROUTE_PREFIX,
  dropConnection,
  StandIn,
} from "../shared/stand_in.ts";
import { type FakeEngineCounters, zeroCounters } from "./counters.ts";
import { type BootFaults, EngineBoot } from "./engine_boot.ts";
import { exportKvCache } from "./kv_cache.ts";
import {
  type FakeEngineFaults,
  fakeEngineFaultsSchema,
  type FakeEngineSettings,
  fakeEngineSettingsSchema,
} from "./settings.ts";

const cacheEventsQuerySchema = z.object({
  after: z.coerce.number().default(0),
});
const kvCacheQuerySchema = z.object({
  request: z.string().transform(requestId),
});
const residentAdaptersSchema = z.object({
  adapters: z.array(adapterReferenceSchema),
});

/**
 * The time from a request with the crash text to the restart that it causes.
 */
const CRASH_DELAY_MILLISECONDS = 20;

/** A stand-in for a model engine with continuous batching. */
export class FakeEngine extends StandIn<FakeEngineFaults> {
  readonly #settings: FakeEngineSettings;
  readonly #random: SeededRandom;
  readonly #counters = zeroCounters();
  readonly #startsByRequest = new Map<RequestId, number>();
  #boot: EngineBoot;
  #unavailableUntil = 0;

  /** @param settings Overrides of the default settings. */
  constructor(settings: Partial<FakeEngineSettings> = {}) {
    super(fakeEngineFaultsSchema);
    this.#settings = fakeEngineSettingsSchema.parse(settings);
    this.#random = new SeededRandom(this.#settings.seed);
    this.#boot = this.#createBoot();
    this.application.addHook("onRequest", (request, reply, done) => {
      const isDown = performance.now() < this.#unavailableUntil;
      if (isDown && !request.url.startsWith(CONTROL_ROUTE_PREFIX)) {
        dropConnection(reply);
        return;
      }
      done();
    });
    this.#registerGenerationRoutes();
    this.#registerOrderRoutes();
    this.#registerReportRoutes();
    this.#registerKvCacheRoutes();
  }

  /** The number of starts of each request. A restart keeps them. */
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

  /**
   * Restarts the engine: its state is lost, and for `restartMilliseconds` it
   * drops all connections but those of the control paths.
   */
  restart(): void {
    this.#boot.stop();
    this.#counters.restarts += 1;
    this.#boot = this.#createBoot();
    this.#unavailableUntil = performance.now() +
      this.#settings.restartMilliseconds;
  }

  /**
   * Makes adapters resident without an order, for the setup of a test.
   * @param adapters The adapters. Free slots are not checked.
   */
  placeAdapters(
    adapters: z.infer<typeof residentAdaptersSchema>["adapters"],
  ): void {
    for (const adapter of adapters) {
      this.#boot.orderExecutor.slots.finishLoad(adapter, true);
    }
  }

  protected override onFaultsChanged(): void {
    this.#boot.wake();
  }

  #createBoot(): EngineBoot {
    return new EngineBoot({
      bootId: `${this.#settings.id}-boot-${this.#counters.restarts + 1}`,
      settings: this.#settings,
      counters: this.#counters,
      random: this.#random,
      faults: this.#createBootFaults(),
      onRequestStarted: (request) => {
        this.#countRequestStart(request);
      },
    });
  }

  #createBootFaults(): BootFaults {
    return {
      drawLoadFaults: () => ({
        extraMilliseconds: this.faults.extraLoadMilliseconds,
        fails: this.consumeFault("failNextLoads") ||
          this.#random.happens(this.faults.failLoadProbability),
      }),
      drawWrongAdapter: () => this.consumeFault("wrongAdapterNextGenerations"),
      drawDropAfterTokens: () =>
        this.consumeFault("dropNextStreams")
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

  #countRequestStart(request: RequestId): void {
    const starts = (this.#startsByRequest.get(request) ?? 0) + 1;
    this.#startsByRequest.set(request, starts);
    if (starts > 1) this.#counters.repeatedRequests += 1;
  }

  #registerGenerationRoutes(): void {
    this.application.post("/v1/generate", (request, reply) => {
      const call = parseInput(generateCallSchema, request.body);
      if (call.isErr()) return sendRefusal(reply, call.error);
      const boot = this.#boot;
      const answer = boot.generate(call.value, reply);
      if (this.#triggersCrash(call.value, boot)) {
        setTimeout(() => {
          if (this.#boot === boot) this.restart();
        }, CRASH_DELAY_MILLISECONDS);
      }
      return answer;
    });
    this.application.post("/v1/cancel", (request, reply) => {
      const call = parseInput(cancelCallSchema, request.body);
      if (call.isErr()) return sendRefusal(reply, call.error);
      const { attempt } = call.value;
      const now = performance.now();
      const cancelled = this.#boot.generationManager.cancel(
        call.value.request,
        { attempt, now },
      );
      return { cancelled };
    });
  }

  #triggersCrash(
    { request, messages }: GenerateCall,
    { generationTable }: EngineBoot,
  ): boolean {
    const { crashOnText } = this.faults;
    return crashOnText !== "" &&
      generationTable.findLatest(request) !== undefined &&
      messages.some(({ content }) => content.includes(crashOnText));
  }

  #registerOrderRoutes(): void {
    this.application.post("/v1/orders", (request, reply) => {
      return this.#handleOrder(request, reply);
    });
    this.application.post("/standin/restart", () => {
      this.restart();
      return { restarts: this.#counters.restarts };
    });
    this.application.post("/standin/adapters", (request, reply) => {
      const body = parseInput(residentAdaptersSchema, request.body);
      if (body.isErr()) return sendRefusal(reply, body.error);
      this.placeAdapters(body.value.adapters);
      return { placed: body.value.adapters.length };
    });
  }

  async #handleOrder(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const order = parseInput(engineOrderSchema, request.body);
    if (order.isErr()) return sendRefusal(reply, order.error);
    const { orderExecutor } = this.#boot;
    const result = await orderExecutor.execute(order.value, performance.now());
    if (this.consumeFault("loseNextOrderAnswers")) return dropConnection(reply);
    return result.isOk() ? {} : sendRefusal(reply, result.error);
  }

  #registerReportRoutes(): void {
    this.application.get("/standin/starts", () => {
      return Object.fromEntries(this.#startsByRequest);
    });
    this.application.get("/v1/state", () => this.#boot.readState());
    this.application.get("/v1/load", () => {
      return this.#boot.readLoad(performance.now());
    });
    this.application.get("/v1/cache-events", (request, reply) => {
      const query = parseInput(cacheEventsQuerySchema, request.query);
      if (query.isErr()) return sendRefusal(reply, query.error);
      const now = performance.now();
      return { events: this.#boot.cacheEvents.read(query.value.after, now) };
    });
  }

  #registerKvCacheRoutes(): void {
    this.application.get("/v1/kv-cache", async (request, reply) => {
      const query = parseInput(kvCacheQuerySchema, request.query);
      if (query.isErr()) return sendRefusal(reply, query.error);
      const generation = this.#boot.generationTable.findLatest(
        query.value.request,
      );
      const isLive = generation !== undefined &&
        generation.ending === undefined;
      if (!isLive || !generation.isPrefilled) {
        return sendRefusal(reply, refusal("not_found", "No such KV cache"));
      }
      generation.isExported = true;
      await this.#simulateKvTransfer(
        generation.promptTokens + generation.generated,
      );
      return exportKvCache(generation);
    });
    this.application.post("/v1/kv-cache", async (request, reply) => {
      const body = parseInput(exportedKvCacheSchema, request.body);
      if (body.isErr()) return sendRefusal(reply, body.error);
      const added = this.#boot.generationManager.importedKvCaches.add(
        body.value,
      );
      if (added.isErr()) return sendRefusal(reply, added.error);
      await this.#simulateKvTransfer(added.value.tokens);
      return {};
    });
  }

  async #simulateKvTransfer(tokens: number): Promise<void> {
    await delay(tokens * this.#settings.kvTransferMillisecondsPerToken);
  }
}
