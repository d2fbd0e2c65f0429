import { setTimeout as sleep } from "node:timers/promises";
import type { FaultCluster } from "./fault_cluster.ts";

/** A fault that the benchmark injects, and the failures it permits. */
export interface Fault {
  readonly name: string;
  /**
   * Comma-separated IDs of the nodes whose callers may lose requests in
   * flight, if any.
   */
  readonly affectedNodes?: string;
  /** How long the fault and its effects are observed, at least. */
  readonly observationMilliseconds: number;
  /** Injects the fault and then restores normal operation. */
  readonly inject: (cluster: FaultCluster) => Promise<void>;
}

/** A fault with its observation period. */
export interface InjectedFault {
  readonly fault: Fault;
  readonly from: number;
  readonly to: number;
}

const PAUSE_MILLISECONDS = 5_000;
const DOWNTIME_MILLISECONDS = 3_000;
const OBSERVATION_MILLISECONDS = 15_000;

/**
 * Lists the faults to inject in a run.
 * @param logOutageMilliseconds Duration of the log outage.
 * @returns The faults in the order of injection.
 */
export function listFaults(logOutageMilliseconds: number): readonly Fault[] {
  return [
    {
      ...baseFault("none"),
      observationMilliseconds: OBSERVATION_MILLISECONDS,
    },
    stopNode(0),
    killNode(1),
    pauseNode(2),
    killEngine(0),
    pauseEngine(1),
    logOutage(logOutageMilliseconds),
    loseAppendAnswers(),
    killTwoNodes(3, 4),
  ];
}

function baseFault(name: string): Fault {
  return {
    name,
    observationMilliseconds: OBSERVATION_MILLISECONDS,
    inject: () => Promise.resolve(),
  };
}

function stopNode(index: number): Fault {
  return {
    ...baseFault(`planned stop of node ${index + 1}`),
    async inject(cluster) {
      await nodeAt(cluster, index).program.stop();
      await cluster.restartNode(index);
    },
  };
}

function killNode(index: number): Fault {
  return {
    ...baseFault(`kill of node ${index + 1}`),
    affectedNodes: `node-${index + 1}`,
    async inject(cluster) {
      nodeAt(cluster, index).program.signal("SIGKILL");
      await sleep(DOWNTIME_MILLISECONDS);
      await cluster.restartNode(index);
    },
  };
}

function pauseNode(index: number): Fault {
  return {
    ...baseFault(`pause of node ${index + 1}`),
    affectedNodes: `node-${index + 1}`,
    async inject(cluster) {
      nodeAt(cluster, index).program.signal("SIGSTOP");
      await sleep(PAUSE_MILLISECONDS);
      nodeAt(cluster, index).program.signal("SIGCONT");
    },
  };
}

function killEngine(index: number): Fault {
  return {
    ...baseFault(`kill of engine ${index + 1}`),
    async inject(cluster) {
      engineAt(cluster, index).standIn.program.signal("SIGKILL");
      await sleep(DOWNTIME_MILLISECONDS);
      await cluster.restartEngine(index);
    },
  };
}

function pauseEngine(index: number): Fault {
  return {
    ...baseFault(`pause of engine ${index + 1}`),
    async inject(cluster) {
      engineAt(cluster, index).standIn.program.signal("SIGSTOP");
      await sleep(PAUSE_MILLISECONDS);
      engineAt(cluster, index).standIn.program.signal("SIGCONT");
    },
  };
}

function logOutage(milliseconds: number): Fault {
  return {
    ...baseFault("log outage"),
    observationMilliseconds: milliseconds + OBSERVATION_MILLISECONDS,
    async inject(cluster) {
      await cluster.setLogFaults({ outage: "refuse" });
      await sleep(milliseconds);
      await cluster.setLogFaults({ outage: "none" });
    },
  };
}

function loseAppendAnswers(): Fault {
  return {
    ...baseFault("log loses answers after effect"),
    async inject(cluster) {
      await cluster.setLogFaults({
        loseNextAppendAnswers: LOST_APPEND_ANSWERS,
      });
    },
  };
}

const LOST_APPEND_ANSWERS = 5;

function killTwoNodes(first: number, second: number): Fault {
  return {
    ...baseFault(`kill of nodes ${first + 1} and ${second + 1}`),
    affectedNodes: `node-${first + 1},node-${second + 1}`,
    async inject(cluster) {
      nodeAt(cluster, first).program.signal("SIGKILL");
      nodeAt(cluster, second).program.signal("SIGKILL");
      await sleep(DOWNTIME_MILLISECONDS);
      await cluster.restartNode(first);
      await cluster.restartNode(second);
    },
  };
}

function nodeAt(cluster: FaultCluster, index: number) {
  const node = cluster.nodes[index];
  if (node === undefined) throw new Error(`There is no node ${index + 1}`);
  return node;
}

function engineAt(cluster: FaultCluster, index: number) {
  const engine = cluster.engines[index];
  if (engine === undefined) throw new Error(`There is no engine ${index + 1}`);
  return engine;
}
