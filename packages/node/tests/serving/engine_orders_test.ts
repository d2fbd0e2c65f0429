import {
  adapterId,
  adapterKey,
  adapterVersion,
  type EngineId,
  engineId,
  type Failure,
  fencingNumber,
} from "@foxtailwind/core";
import { HttpEngineClient } from "@foxtailwind/edges";
import { FakeEngine } from "@foxtailwind/standins";
import test, { type ExecutionContext } from "ava";
import { err, type Result } from "neverthrow";
import { Agent } from "undici";
import {
  ConstantOrderAuthorizer,
  EngineOrders,
  OrderAuthorizer,
  ProcessClock,
} from "@foxtailwind/node";

const ENGINE = engineId("engine-1");
const NOTES = { adapter: adapterId("notes"), version: adapterVersion("v1") };

class ExpiredOrderAuthorizer extends OrderAuthorizer {
  override authorizeOrder(engine: EngineId): Result<never, Failure> {
    return err({
      reason: "expired",
      step: "load_adapter",
      peer: engine,
      message: "The lease has expired.",
      outcome: "not_run",
    });
  }
}

async function startOrders(
  t: ExecutionContext,
  authorizer: OrderAuthorizer = new ConstantOrderAuthorizer(fencingNumber(1)),
) {
  const engine = new FakeEngine({ id: ENGINE, loadMilliseconds: 1 });
  const baseAddress = await engine.listen({ host: "127.0.0.1", port: 0 });
  const dispatcher = new Agent();
  const client = new HttpEngineClient({
    peer: ENGINE,
    baseAddress,
    dispatcher,
  });
  const orders = new EngineOrders({
    engine: ENGINE,
    client,
    clock: new ProcessClock(),
    orderAuthorizer: authorizer,
    expiresInMilliseconds: 300,
  });
  t.teardown(async () => {
    orders.stop();
    await dispatcher.destroy();
    await engine.close();
  });
  async function residentAdapters(): Promise<readonly string[]> {
    const state = await client.readState();
    return state.isOk() ? state.value.resident.map(adapterKey) : [];
  }
  return { engine, orders, residentAdapters };
}

test("a load whose answer was lost is confirmed by the engine's state", async (t) => {
  const { engine, orders, residentAdapters } = await startOrders(t);
  engine.setFaults({ loseNextOrderAnswers: 1 });
  t.true((await orders.load(NOTES)).isOk());
  t.deepEqual(await residentAdapters(), [adapterKey(NOTES)]);
});

test("an eviction whose answer was lost is confirmed by the engine's state", async (t) => {
  const { engine, orders, residentAdapters } = await startOrders(t);
  await orders.load(NOTES);
  engine.setFaults({ loseNextOrderAnswers: 1 });
  t.true((await orders.evict(NOTES)).isOk());
  t.deepEqual(await residentAdapters(), []);
});

test("no order is sent without authorization", async (t) => {
  const { engine, orders } = await startOrders(t, new ExpiredOrderAuthorizer());
  const result = await orders.load(NOTES);
  t.is(result._unsafeUnwrapErr().reason, "expired");
  t.is(engine.readCounters().loads, 0);
});
