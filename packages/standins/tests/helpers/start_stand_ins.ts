import {
  type AdapterReference,
  createDispatcher,
  type EngineOrder,
  HttpEngineClient,
  HttpLogClient,
} from "@foxtailwind/edges";
import { fencingNumber } from "@foxtailwind/core";
import {
  FakeEngine,
  type FakeEngineSettings,
  FakeLogService,
  type FakeLogServiceSettings,
} from "@foxtailwind/standins";
import type { ExecutionContext } from "ava";
import { createAdapterReference } from "../../../edges/tests/helpers/calls.ts";

/** A listening engine and its client. */
export interface StartedEngine {
  readonly engine: FakeEngine;
  readonly client: HttpEngineClient;
}

const FAST_SETTINGS: Partial<FakeEngineSettings> = {
  stepBaseMilliseconds: 1,
  stepMillisecondsPerSequence: 0,
  prefillMillisecondsPerToken: 0,
  loadMilliseconds: 1,
  loadModelMilliseconds: 1,
  kvTransferMillisecondsPerToken: 0,
  restartMilliseconds: 0,
};

/**
 * Starts an engine with short step and load times and adapter "a" resident.
 * @param t The test, whose teardown closes the engine.
 * @param settings Overrides of the settings.
 * @returns The engine and its client.
 */
export async function startEngine(
  t: ExecutionContext,
  settings: Partial<FakeEngineSettings> = {},
): Promise<StartedEngine> {
  const engine = new FakeEngine({ ...FAST_SETTINGS, ...settings });
  const baseAddress = await engine.listen();
  const dispatcher = createDispatcher();
  t.teardown(async () => {
    await dispatcher.destroy();
    await engine.close();
  });
  engine.placeAdapters([createAdapterReference("a")]);
  const peer = "engine-1";
  const client = new HttpEngineClient({ baseAddress, dispatcher, peer });
  return { engine, client };
}

/**
 * Starts a log service.
 * @param t The test, whose teardown closes the service.
 * @param settings Overrides of the settings.
 * @returns The service and its client.
 */
export async function startLogService(
  t: ExecutionContext,
  settings: Partial<FakeLogServiceSettings> = {},
): Promise<
  { readonly service: FakeLogService; readonly client: HttpLogClient }
> {
  const service = new FakeLogService(settings);
  const baseAddress = await service.listen();
  const dispatcher = createDispatcher();
  t.teardown(async () => {
    await dispatcher.destroy();
    await service.close();
  });
  const client = new HttpLogClient({ baseAddress, dispatcher, peer: "log" });
  return { service, client };
}

/**
 * Creates an order for an adapter.
 * @param kind The kind of the order.
 * @param adapter The adapter.
 * @param options The fencing number and the milliseconds until expiry.
 * @returns The order.
 */
export function orderOf(
  kind: "load_adapter" | "evict_adapter",
  adapter: AdapterReference,
  options: { readonly fencing?: number; readonly expiresIn?: number } = {},
): EngineOrder {
  return {
    kind,
    adapter,
    fencing: fencingNumber(options.fencing ?? 1),
    expiresInMilliseconds: options.expiresIn ?? 60_000,
  };
}
