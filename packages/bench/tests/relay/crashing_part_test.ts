import { RelayCluster } from "@foxtailwind/bench";
import { COMMANDS, EXIT_CODE, runCommandLine } from "@foxtailwind/cli";
import { seconds } from "@foxtailwind/core";
import type { RelayDaemon } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil, waitUntilOwned } from "./helpers/cluster.ts";

const ADAPTER = "a1";
/** A part that nearly all requests have. */
const COMMON_PART = "common";
/** A part that crashes each server that begins to answer a prompt with it. */
const CRASHING_PART = "crashing";
const HTTP_OK = 200;
const SERVICE_UNAVAILABLE = 503;
/** The number of crashes after which nodes must know the part. */
const CRASH_LIMIT = 5;
/** The rounds without a crash after which no more are expected. */
const QUIET_ROUNDS = 15;
const ROUND_PAUSE_MILLISECONDS = 100;
/** The time allowed for nodes to learn of the fifth crash. */
const LEARNING_MILLISECONDS = 3_000;
/** How often each node then receives requests of either kind. */
const LATER_REQUESTS = 4;

/** A cluster whose engines a part crashes, with a count of the crashes. */
class CrashingPartCluster {
  crashes = 0;
  #requests = 0;

  private constructor(readonly cluster: RelayCluster) {}

  static async start(t: ExecutionContext): Promise<CrashingPartCluster> {
    const cluster = await RelayCluster.start({
      nodes: 3,
      engines: 6,
      slots: 3,
      grace: seconds(6),
    });
    t.teardown(() => cluster.stop());
    await waitUntilOwned(cluster);
    const crashing = new CrashingPartCluster(cluster);
    cluster.crashEnginesOn({ part: CRASHING_PART }, () => {
      crashing.crashes += 1;
    });
    return crashing;
  }

  /** Sends a request with the crashing part; returns its status, if any. */
  async sendCrashing(node: RelayDaemon): Promise<number | undefined> {
    return await this.#send(node, [COMMON_PART, CRASHING_PART]);
  }

  /** Sends a sound request with the common part; returns its status, if any. */
  async sendSound(node: RelayDaemon): Promise<number | undefined> {
    this.#requests += 1;
    return await this.#send(node, [COMMON_PART, `sound-${this.#requests}`]);
  }

  async #send(
    node: RelayDaemon,
    parts: readonly string[],
  ): Promise<number | undefined> {
    try {
      return (await this.cluster.generateFrom(node, ADAPTER, parts)).status;
    } catch {
      return undefined;
    }
  }

  /**
   * Sends requests of both kinds to all nodes until a number of crashes, or
   * until no engine has crashed for a while.
   */
  async crashUntil(crashes: number): Promise<void> {
    let quietRounds = 0;
    while (this.crashes < crashes && quietRounds < QUIET_ROUNDS) {
      const before = this.crashes;
      for (const node of this.cluster.daemons) {
        if (this.crashes >= crashes) return;
        await Promise.all([this.sendCrashing(node), this.sendSound(node)]);
      }
      quietRounds = this.crashes === before ? quietRounds + 1 : 0;
      await sleep(ROUND_PAUSE_MILLISECONDS);
    }
  }
}

// Guards against a part of prompts that crashes server after server because no
// two requests that have it are alike.
test("no node sends requests with a part that has crashed five servers to another server", async (t) => {
  const crashing = await CrashingPartCluster.start(t);
  const { daemons } = crashing.cluster;
  await crashing.crashUntil(CRASH_LIMIT);
  await sleep(LEARNING_MILLISECONDS);
  const crashesBefore = crashing.crashes;
  for (const node of daemons) {
    await waitUntil(async () => await crashing.sendSound(node) === HTTP_OK);
    for (let request = 0; request < LATER_REQUESTS; request += 1) {
      t.is(await crashing.sendCrashing(node), SERVICE_UNAVAILABLE);
      t.is(await crashing.sendSound(node), HTTP_OK);
    }
  }
  t.is(crashing.crashes, crashesBefore);
});

// Guards against a part that stays refused although its servers were mended.
test("an operator sees which part is refused, and has it served again at all nodes", async (t) => {
  const crashing = await CrashingPartCluster.start(t);
  const { cluster } = crashing;
  await crashing.crashUntil(CRASH_LIMIT);
  cluster.crashEnginesOn({}, () => undefined);
  const [first, , last] = cluster.daemons;
  if (first === undefined || last === undefined) throw new RangeError("nodes");
  const manage = async (...words: readonly string[]) => {
    let output = "";
    const code = await runCommandLine(["quarantines", ...words, "--json"], {
      commands: COMMANDS,
      context: {
        environment: { FOXTAILWIND_NODE: first.readinessAddress },
        writeOut: (text) => void (output += text),
        writeError: () => undefined,
      },
    });
    return { code, output };
  };
  const refused = async () =>
    /part-crashing-[\w-]+/.exec((await manage("list")).output)?.[0];
  await waitUntil(async () => await refused() !== undefined);
  t.is(await crashing.sendCrashing(last), SERVICE_UNAVAILABLE);
  t.is((await manage("lift", "part-unknown")).code, EXIT_CODE.notFound);
  t.is((await manage("lift", await refused() ?? "")).code, EXIT_CODE.ok);
  await waitUntil(async () => await crashing.sendCrashing(last) === HTTP_OK);
  t.is(await refused(), undefined);
});
