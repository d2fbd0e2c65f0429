import { connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";

/** The connections that the listener's queue takes before it is full. */
const QUEUED_CONNECTIONS = 2;

/**
 * Listens, and blocks its thread so that no connection is ever accepted. The
 * queue of the listener holds one connection more than its backlog.
 */
const THREAD = `
  const { createServer } = require("node:net");
  const { parentPort, workerData } = require("node:worker_threads");
  const terms = { port: workerData.port, host: "127.0.0.1", backlog: 1 };
  createServer().listen(terms, () => {
    parentPort.postMessage("listening");
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });
`;

/** A loopback port at which attempts to connect hang. */
export class HangingListener {
  readonly #port: number;
  readonly #worker: Worker;
  readonly #queued: Socket[] = [];

  /** @param port The port, at which nothing else listens. */
  constructor(port: number) {
    this.#port = port;
    this.#worker = new Worker(THREAD, { eval: true, workerData: { port } });
  }

  /** Waits until attempts to connect hang. */
  async start(): Promise<void> {
    await new Promise((resolve) => this.#worker.once("message", resolve));
    for (let index = 0; index < QUEUED_CONNECTIONS; index += 1) {
      const socket = connect(this.#port, "127.0.0.1");
      this.#queued.push(socket);
      socket.on("error", () => undefined);
      await new Promise((resolve) => socket.once("connect", resolve));
    }
  }

  /** Stops listening. Attempts in progress fail. */
  async stop(): Promise<void> {
    for (const socket of this.#queued) socket.destroy();
    await this.#worker.terminate();
  }
}
