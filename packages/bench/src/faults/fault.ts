import { setTimeout as sleep } from "node:timers/promises";
import type { FaultCluster } from "./fault_cluster.ts";

/** A fault that the bench brings about, and what it may cost. */
export interface Fault {
  readonly name: string;
  /** The node whose own callers may lose what is in flight, if any. */
  readonly costsNode?: string;
  /** How long the fault lasts and its effects are watched. */
  readonly watchMilliseconds: number;
  /** Brings the fault about and puts things right again. */
  readonly strike: (cluster: FaultCluster) => Promise<void>;
}

/** A fault with the time in which it was watched. */
export interface StruckFault {
  readonly fault: Fault;
  readonly from: number;
  readonly to: number;
}

const PAUSE_MILLISECONDS = 5_000;
const DOWN_MILLISECONDS = 3_000;
const WATCH_MILLISECONDS = 15_000;

/**
 * Lists the faults of a run.
 * @param logOutageMilliseconds How long the log's outage lasts.
 * @returns The faults in their order.
 */
export function listFaults(logOutageMilliseconds: number): readonly Fault[] {
  return [
    { ...quietly("none"), watchMilliseconds: WATCH_MILLISECONDS },
    stopNode(0),
    killNode(1),
    pauseNode(2),
    killEngine(0),
    pauseEngine(1),
    logOutage(logOutageMilliseconds),
    logLosesAnswers(),
    killTwoNodes(3, 4),
  ];
}

function quietly(name: string): Fault {
  return {
    name,
    watchMilliseconds: WATCH_MILLISECONDS,
    strike: () => Promise.resolve(),
  };
}

function stopNode(index: number): Fault {
  return {
    ...quietly(`planned stop of node ${index + 1}`),
    async strike(cluster) {
      await nodeAt(cluster, index).program.stop();
      await cluster.restartNode(index);
    },
  };
}

function killNode(index: number): Fault {
  return {
    ...quietly(`kill of node ${index + 1}`),
    costsNode: `node-${index + 1}`,
    async strike(cluster) {
      nodeAt(cluster, index).program.signal("SIGKILL");
      await sleep(DOWN_MILLISECONDS);
      await cluster.restartNode(index);
    },
  };
}

function pauseNode(index: number): Fault {
  return {
    ...quietly(`pause of node ${index + 1}`),
    costsNode: `node-${index + 1}`,
    async strike(cluster) {
      nodeAt(cluster, index).program.signal("SIGSTOP");
      await sleep(PAUSE_MILLISECONDS);
      nodeAt(cluster, index).program.signal("SIGCONT");
    },
  };
}

function killEngine(index: number): Fault {
  return {
    ...quietly(`kill of engine ${index + 1}`),
    async strike(cluster) {
      engineAt(cluster, index).standIn.program.signal("SIGKILL");
      await sleep(DOWN_MILLISECONDS);
      await cluster.restartEngine(index);
    },
  };
}

function pauseEngine(index: number): Fault {
  return {
    ...quietly(`pause of engine ${index + 1}`),
    async strike(cluster) {
      engineAt(cluster, index).standIn.program.signal("SIGSTOP");
      await sleep(PAUSE_MILLISECONDS);
      engineAt(cluster, index).standIn.program.signal("SIGCONT");
    },
  };
}

function logOutage(milliseconds: number): Fault {
  return {
    ...quietly("log outage"),
    watchMilliseconds: milliseconds + WATCH_MILLISECONDS,
    async strike(cluster) {
      await cluster.setLogFaults({ outage: "refuse" });
      await sleep(milliseconds);
      await cluster.setLogFaults({ outage: "none" });
    },
  };
}

function logLosesAnswers(): Fault {
  return {
    ...quietly("log loses answers after effect"),
    async strike(cluster) {
      await cluster.setLogFaults({ loseNextAppendAnswers: LOST_ANSWERS });
    },
  };
}

const LOST_ANSWERS = 5;

function killTwoNodes(first: number, second: number): Fault {
  return {
    ...quietly(`kill of nodes ${first + 1} and ${second + 1}`),
    costsNode: `node-${first + 1},node-${second + 1}`,
    async strike(cluster) {
      nodeAt(cluster, first).program.signal("SIGKILL");
      nodeAt(cluster, second).program.signal("SIGKILL");
      await sleep(DOWN_MILLISECONDS);
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
