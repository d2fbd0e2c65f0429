import { standInEngineService, standInRegistryEntry } from "@foxtailwind/bench";
import {
  backendServerId,
  logOffset,
  milliseconds,
  seconds,
  serviceId,
} from "@foxtailwind/core";
import {
  type ClaimRecord,
  EngineOwners,
  SharedLog,
  type StoredOrigin,
} from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import { nodeRecord } from "./helpers/node_record.ts";
import { createRelayBase } from "./helpers/relay_base.ts";
import { ScriptedEngine } from "./helpers/scripted_engine.ts";

const ENGINE = backendServerId("engine");
const SERVICE = serviceId("engines");

/** A log that records every claim and accepts it if `acceptsClaims` is set. */
class ClaimLog extends SharedLog {
  readonly claims: ClaimRecord[] = [];
  acceptsClaims = true;

  override start(): void {
    // Nothing is read: the test supplies the log's records.
  }

  override claim(
    claims: readonly ClaimRecord[],
  ): Promise<Result<boolean, never>> {
    this.claims.push(...claims);
    return Promise.resolve(ok(this.acceptsClaims));
  }

  override readRegistry(): void {
    // Nothing is read.
  }

  override catchUp(): Promise<void> {
    return Promise.resolve();
  }

  override catchUpSoon(): void {
    // Nothing is read.
  }

  override readOperators(): void {
    // Nothing is read.
  }

  override changeSuspicions(): Promise<Result<void, never>> {
    return Promise.resolve(ok(undefined));
  }

  override changeStreamSources(): Promise<Result<boolean, never>> {
    return Promise.resolve(ok(true));
  }

  override readStreamSources(): Promise<boolean> {
    return Promise.resolve(true);
  }

  override confirmStreamSources(): Promise<Result<boolean, never>> {
    return Promise.resolve(ok(true));
  }

  override appendStreamOrigins(): Promise<Result<void, never>> {
    return Promise.resolve(ok(undefined));
  }

  override readStreamOrigins(): Promise<
    Result<readonly StoredOrigin[], never>
  > {
    return Promise.resolve(ok([]));
  }

  override announce(): Promise<Result<boolean, never>> {
    return Promise.resolve(ok(true));
  }

  override stop(): void {
    // Nothing runs.
  }
}

/** Sets up a restarted node whose earlier run owned the engine. */
function setUpRestartedNode(t: ExecutionContext) {
  const { base, knowledge } = createRelayBase({
    part: "ownership",
    incarnation: "run-2",
  });
  const { settings } = base;
  const log = new ClaimLog();
  let gained = 0;
  const owners = new EngineOwners({
    ...base,
    knowledge,
    log,
    control: new ScriptedEngine(2),
    isLeaving: () => false,
    isUnreached: () => false,
    onEngineGained: () => {
      gained += 1;
    },
  });
  t.teardown(() => {
    owners.stop();
  });
  knowledge.caughtUp();
  knowledge.configuration({
    version: 1,
    routes: [],
    services: [standInEngineService(SERVICE, 2)],
    limits: {
      headerBytes: 4_096,
      bodyBytes: 100_000,
      headerTime: seconds(3),
      idleTime: seconds(15),
    },
  });
  knowledge.registryEntry({
    kind: "present",
    offset: logOffset(1),
    server: standInRegistryEntry({
      id: ENGINE,
      service: SERVICE,
      address: "127.0.0.1:1",
      isEngine: true,
    }),
  });
  const claim = {
    engine: ENGINE,
    owner: settings.node.id,
    wait: milliseconds(0),
  };
  knowledge.claim({ ...claim, incarnation: "run-1" }, logOffset(4));
  return { claim, gained: () => gained, knowledge, log, owners };
}

test("a restarted node claims its engine at once and announces that it owns it", async (t) => {
  const { claim, gained, knowledge, log, owners } = setUpRestartedNode(t);
  owners.refresh();
  await Promise.resolve();
  t.is(log.claims.length, 1, "Its own earlier run isn't another owner.");
  t.is(log.claims[0]?.wait, milliseconds(0));
  t.is(gained(), 0, "The log hasn't accepted the claim yet.");
  knowledge.claim({ ...claim, incarnation: "run-2" }, logOffset(5));
  owners.refresh();
  t.is(gained(), 1);
  t.is(owners.digests[0]?.engine, ENGINE);
  owners.refresh();
  t.is(gained(), 1, "It is announced once.");
});

test("of 61 nodes whose claims conflict, one waits a random delay before it claims again", async (t) => {
  const { knowledge, log, owners } = setUpRestartedNode(t);
  for (let node = 0; node < 60; node += 1) {
    knowledge.node(nodeRecord(`n${node}`));
  }
  log.acceptsClaims = false;
  const claimsIn = async (refreshes: number) => {
    const before = log.claims.length;
    for (let refresh = 0; refresh < refreshes; refresh += 1) {
      owners.refresh();
      await sleep(1);
    }
    return log.claims.length - before;
  };
  const claims = await claimsIn(200);
  t.true(claims >= 1 && claims < 20, `${claims} claims in 200 refreshes`);
});
