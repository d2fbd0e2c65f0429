import { PartitionableLink } from "@foxtailwind/standins";
import type { StandInControl } from "./stand_in_engine.ts";
import type { StandInLog } from "./stand_in_log.ts";

/** How one node of a cluster reaches the servers. */
export class NodeLinks {
  readonly #control: StandInControl;
  /** The link to each server, by the server's address. */
  readonly #links = new Map<string, PartitionableLink>();

  /** @param control Delivers the node's orders to engines. */
  constructor(control: StandInControl) {
    this.#control = control;
  }

  /**
   * Opens a link to each server, and shows the node the links' addresses.
   * @param log The node's view of the store.
   * @param servers The addresses of the servers.
   */
  async open(log: StandInLog, servers: readonly string[]): Promise<void> {
    const addresses = new Map<string, string>();
    for (const address of servers) {
      const link = new PartitionableLink(Number(address.split(":").at(-1)));
      this.#links.set(address, link);
      addresses.set(address, `127.0.0.1:${await link.listen()}`);
    }
    log.viewServer = (server) => ({
      ...server,
      address: addresses.get(server.address) ?? server.address,
    });
  }

  /**
   * Cuts the node off from all servers. New connections are refused.
   * @param keepsConnections Whether open connections live on; otherwise, what is
   * sent over them is held up.
   */
  cut(keepsConnections = false): void {
    this.#control.isCut = !keepsConnections;
    for (const link of this.#links.values()) {
      link.refuseConnections();
      if (!keepsConnections) link.partition();
    }
  }

  /**
   * Cuts the node off from all servers without a refusal: attempts to connect
   * hang, and what is sent over open connections is held up.
   */
  async hang(): Promise<void> {
    this.#control.isCut = true;
    const links = [...this.#links.values()];
    for (const link of links) link.partition();
    await Promise.all(links.map((link) => link.hangConnections()));
  }

  /** Ends the cut. */
  async heal(): Promise<void> {
    this.#control.isCut = false;
    await Promise.all([...this.#links.values()].map((link) => link.heal()));
  }

  /** Closes all links. */
  close(): void {
    for (const link of this.#links.values()) link.close();
  }
}
