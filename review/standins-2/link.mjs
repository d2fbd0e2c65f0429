/** A link to a port at which open connections may go silent for good while new ones work. */
import { connect, createServer } from "node:net";

export class Link {
  #pairs = new Set();
  constructor(port) {
    this.target = port;
  }
  async start() {
    this.server = createServer((near) => {
      const far = connect(this.target, "127.0.0.1");
      const pair = { near, far, isSilent: false };
      this.#pairs.add(pair);
      near.on("data", (bytes) => { if (!pair.isSilent) far.write(bytes); });
      far.on("data", (bytes) => { if (!pair.isSilent) near.write(bytes); });
      for (const [one, other] of [[near, far], [far, near]]) {
        one.on("error", () => undefined);
        one.on("close", () => {
          this.#pairs.delete(pair);
          if (!pair.isSilent) other.destroy();
        });
      }
    });
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.port = this.server.address().port;
    return this;
  }
  /** Nothing passes on the connections that are open now, and none of them ends. */
  silenceOpen() {
    for (const pair of this.#pairs) pair.isSilent = true;
    return this.#pairs.size;
  }
  stop() {
    this.server.close();
    for (const { near, far } of this.#pairs) { near.destroy(); far.destroy(); }
  }
}
