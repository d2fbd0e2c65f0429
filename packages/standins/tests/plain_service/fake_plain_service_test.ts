import { backendServerId } from "@foxtailwind/core";
import {
  createDispatcher,
  HttpServiceClient,
  type ServiceResponse,
} from "@foxtailwind/edges";
import { FakePlainService } from "@foxtailwind/standins";
import test, { type ExecutionContext } from "ava";

async function startService(t: ExecutionContext) {
  const service = new FakePlainService({ id: "slots-1" });
  await service.listen();
  const dispatcher = createDispatcher();
  t.teardown(async () => {
    await dispatcher.destroy();
    await service.close();
  });
  const client = new HttpServiceClient({ dispatcher });
  const call = (key: string) =>
    client.call({
      server: backendServerId("slots-1"),
      address: new URL(service.address).host,
      method: "POST",
      path: "/bookings/7",
      headers: [
        { name: "idempotency-key", value: key },
        { name: "content-type", value: "application/json" },
      ],
      body: Buffer.from("not JSON"),
      timeoutMilliseconds: 5_000,
    }, new AbortController().signal);
  return { service, call };
}

function parseBody(answer: ServiceResponse): unknown {
  return JSON.parse(Buffer.from(answer.body).toString());
}

test("any path and body is accepted and runs are counted by key", async (t) => {
  const { service, call } = await startService(t);
  t.deepEqual(parseBody((await call("k"))._unsafeUnwrap()), {
    server: "slots-1",
    method: "POST",
    path: "/bookings/7",
    key: "k",
    runsOfKey: 1,
  });
  await call("k");
  t.like(service.readCounters(), { runs: 2, repeatedKeys: ["k"] });
});

test("a call whose response is lost has run, a dropped or refused one has not", async (t) => {
  const { service, call } = await startService(t);
  service.setFaults({ loseNextAnswers: 1 });
  t.is((await call("lost"))._unsafeUnwrapErr().outcome, "unknown");
  service.setFaults({ dropNextCalls: 1 });
  t.is((await call("dropped"))._unsafeUnwrapErr().outcome, "unknown");
  service.setFaults({ refuseNextCalls: 1 });
  const refused = (await call("refused"))._unsafeUnwrap();
  t.like(refused, { status: 503, statedOutcome: "not_run" });
  t.deepEqual(service.readCounters().runsByKey, { lost: 1 });
});

test("a leaving server reports it in its responses", async (t) => {
  const { service, call } = await startService(t);
  t.false((await call("a"))._unsafeUnwrap().leaving);
  service.setFaults({ leaving: true });
  t.true((await call("b"))._unsafeUnwrap().leaving);
  t.is(service.readCounters().callsWhileLeaving, 1);
});
