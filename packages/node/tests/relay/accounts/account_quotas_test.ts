import {
  type ClientAccount,
  clientAccountId,
  milliseconds,
  type RelayConfiguration,
} from "@foxtailwind/core";
import {
  AccountQuotas,
  digestApiKey,
  ProcessClock,
} from "@foxtailwind/node/relay";
import { EngineStates } from "@foxtailwind/protocol";
import test, { type ExecutionContext } from "ava";
import { createRelayBase } from "../helpers/relay_base.ts";
import { nodeDigest } from "../helpers/node_digest.ts";
import { RelayWorld, succeed } from "../helpers/relay_world.ts";

const ACCOUNT = {
  id: clientAccountId("one"),
  keys: [digestApiKey("key")],
  quota: { unit: "tokens", rate: 1_000, burst: 1_000, plainTokens: 200 },
} as const;

function configurationWith(account: ClientAccount): RelayConfiguration {
  return {
    version: 1,
    routes: [],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTime: milliseconds(1),
      idleTime: milliseconds(1),
    },
    accounts: [account],
  };
}

async function startWorld(t: ExecutionContext) {
  const world = new RelayWorld();
  world.configure([ACCOUNT]);
  let runs = 0;
  await world.addServer("s1", (request, response) => {
    runs += 1;
    request.resume();
    succeed(request, response, "served");
  });
  await world.start(t);
  const call = (tokens: number) =>
    world.call("/once/a", {
      headers: { "x-key": "key", "x-tokens": String(tokens) },
    });
  return { world, call, runCount: () => runs };
}

test("a request over the quota gets 429 at once, with a retry time, and runs nowhere", async (t) => {
  const { world, call, runCount } = await startWorld(t);
  t.is((await call(900)).status, 200);
  const refused = await call(900);
  t.is(refused.status, 429);
  const wait = Number(refused.headers["retry-after"]);
  t.true(wait >= 0.1 && wait <= 8, `${wait} s`);
  t.is(runCount(), 1);
  t.deepEqual(world.refusals, ["over_quota"]);
});

test("a request that no server ran is not counted", async (t) => {
  const { world, call } = await startWorld(t);
  world.removeServer("s1");
  for (let index = 0; index < 3; index += 1) {
    t.is((await call(900)).status, 503);
  }
  world.restoreServer("s1");
  t.is((await call(900)).status, 200);
});

test("peers' reports of an account's use count against its quota here", (t) => {
  const { knowledge } = createRelayBase({ part: "callers" });
  knowledge.configuration(configurationWith(ACCOUNT));
  const clock = new ProcessClock();
  const quotas = new AccountQuotas({
    knowledge,
    clock,
    slack: 0,
    countNodes: () => 2,
  });
  const hear = (admitted: number, sequence: number) => {
    const now = clock.now();
    knowledge.peers.applyDigest(
      now,
      nodeDigest("n2", {
        sequence,
        engineStates: {
          engines: [],
          accounts: [{ account: "one", admitted, demand: 10 }],
          retries: [],
          sequence,
        },
      }),
    );
    quotas.refresh(now);
  };
  hear(0, 1);
  t.is(quotas.tryTake(ACCOUNT, 1).kind, "admitted");
  hear(10, 2);
  t.is(quotas.tryTake(ACCOUNT, 1).kind, "admitted");
  hear(2_000, 3);
  t.is(quotas.tryTake(ACCOUNT, 100).kind, "refused");
  t.is(quotas.ownUses[0]?.admitted, 2);
});

test("uses of any size, and refunds to an account that was removed meanwhile, fit into a message", (t) => {
  const { knowledge } = createRelayBase({ part: "callers" });
  knowledge.configuration(configurationWith(ACCOUNT));
  const quota = { ...ACCOUNT.quota, rate: 1e15, burst: 1e15 };
  const account = { ...ACCOUNT, quota };
  const quotas = new AccountQuotas({
    knowledge,
    clock: new ProcessClock(),
    slack: 0,
    countNodes: () => 1,
  });
  for (let index = 0; index < 10; index += 1) {
    quotas.tryTake(account, 1_999_999_998);
  }
  const encode = () =>
    EngineStates.encode({
      engines: [],
      accounts: [...quotas.ownUses],
      retries: [],
      sequence: 1,
    }).finish();
  t.notThrows(encode);
  quotas.refund({ account, quotaCost: 1e12 });
  t.notThrows(encode);
  t.is(quotas.ownUses.length, 1);
});
