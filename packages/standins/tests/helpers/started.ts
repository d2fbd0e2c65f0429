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
import { adapterOf } from "../../../edges/tests/helpers/calls.ts";

/** An engine that listens, and a client of it. */
export interface StartedEngine {
  readonly engine: FakeEngine;
  readonly client: HttpEngineClient;
}

const QUICK: Partial<FakeEngineSettings> = {
  stepBaseMilliseconds: 1,
  stepMillisecondsPerSequence: 0,
  prefillMillisecondsPerToken: 0,
  loadMilliseconds: 1,
  loadModelMilliseconds: 1,
  kvTransferMillisecondsPerToken: 0,
  restartMilliseconds: 0,
};

/**
 * Starts a quick engine on which adapter "a" is resident.
 * @param t Closes the engine at the end of its test.
 * @param settings Settings that differ.
 * @returns The engine and its client.
 */
export async function startEngine(
  t: ExecutionContext,
  settings: Partial<FakeEngineSettings> = {},
): Promise<StartedEngine> {
  const engine = new FakeEngine({ ...QUICK, ...settings });
  const baseAddress = await engine.listen();
  const dispatcher = createDispatcher();
  t.teardown(async () => {
    await dispatcher.destroy();
    await engine.close();
  });
  engine.placeAdapters([adapterOf("a")]);
  const peer = "engine-1";
  const client = new HttpEngineClient({ baseAddress, dispatcher, peer });
  return { engine, client };
}

/**
 * Starts a log service.
 * @param t Closes the service at the end of its test.
 * @param settings Settings that differ.
 * @returns The service and a client of it.
 */
export async function startLog(
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
 * Makes an order about an adapter.
 * @param kind What to do.
 * @param adapter The adapter.
 * @param options Fencing and expiry where they differ.
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
