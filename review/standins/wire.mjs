/**
 * The wire before a machine's caller address. It passes bytes on, and falls
 * silent while the machine is without power: what is sent then is lost, and open
 * connections stay silent for good.
 */
import { connect, createServer } from "node:net";

export class Wire {
  #pairs = new Set();
  #isDark = false;

  /** @param port The caller port of the node. */
  constructor(port) {
    this.target = port;
    this.server = createServer((client) => this.#accept(client));
  }

  async start() {
    await new Promise((done) => this.server.listen(0, "127.0.0.1", done));
    this.port = this.server.address().port;
    return this;
  }

  #accept(client) {
    client.on("error", () => undefined);
    // A machine without power answers nothing.
    if (this.#isDark) return;
    const node = connect(this.target, "127.0.0.1");
    const pair = { client, node, isSilent: false };
    this.#pairs.add(pair);
    client.on("data", (bytes) => pair.isSilent || node.write(bytes));
    node.on("data", (bytes) => pair.isSilent || client.write(bytes));
    client.on("close", () => {
      this.#pairs.delete(pair);
      node.resetAndDestroy();
    });
    node.on("error", () => undefined);
    node.on("close", () => {
      if (!pair.isSilent) client.resetAndDestroy();
    });
  }

  /** The machine loses power: nobody at the other ends is told. */
  cutPower() {
    this.#isDark = true;
    for (const pair of this.#pairs) pair.isSilent = true;
  }

  /** Open connections go silent for good; new ones work. */
  silenceOpen() {
    for (const pair of this.#pairs) pair.isSilent = true;
  }

  restorePower() {
    this.#isDark = false;
  }

  stop() {
    for (const { client, node } of this.#pairs) {
      client.destroy();
      node.destroy();
    }
    this.server.close();
  }
}
