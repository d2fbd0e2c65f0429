import type { BackendServerId, RegistryEntry } from "@foxtailwind/core";
import type { Knowledge, RegistrySource } from "../knowledge.ts";
import {
  MAXIMUM_DATAGRAM_TEXT_BYTES,
  type PeerDatagrams,
} from "../peer_datagrams.ts";
import {
  decodeRegistryEntries,
  encodeRegistryEntries,
} from "./registry_message.ts";

/** How long changes are collected before they are sent together. */
const BATCH_DELAY_MILLISECONDS = 5;

/** The dependencies of {@link RegistrySpread}. */
export interface RegistrySpreadParts {
  readonly knowledge: Pick<
    Knowledge,
    "registry" | "applyPeerEntries" | "workCounts"
  >;
  readonly datagrams: PeerDatagrams;
  /** Returns the addresses of the hubs, if nodes are informed by hubs. */
  readonly hubAddresses: () => readonly string[];
  /** Returns the addresses of the nodes that this node informs as a hub. */
  readonly memberAddresses: () => readonly string[];
}

/**
 * Passes changes of the registry on at once: a node that has read them from the
 * log sends them to all hubs, and a hub to the nodes that ask it. Exchanges
 * bring what is lost.
 */
export class RegistrySpread {
  readonly #parts: RegistrySpreadParts;
  readonly #forHubs = new Set<BackendServerId>();
  readonly #forMembers = new Set<BackendServerId>();
  #timer: NodeJS.Timeout | undefined;

  /** @param parts The dependencies. */
  constructor(parts: RegistrySpreadParts) {
    this.#parts = parts;
    parts.datagrams.addListener(({ registryChange }) => {
      if (registryChange === undefined) return;
      parts.knowledge.workCounts.increment("registry_received");
      parts.knowledge.applyPeerEntries(
        decodeRegistryEntries(registryChange.entries),
      );
    });
  }

  /**
   * Records that servers have changed, so that peers are told soon.
   * @param servers The servers.
   * @param source Where the change came from.
   */
  recordChange(
    servers: readonly BackendServerId[],
    source: RegistrySource,
  ): void {
    for (const server of servers) {
      if (source === "log") this.#forHubs.add(server);
      this.#forMembers.add(server);
    }
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#send();
    }, BATCH_DELAY_MILLISECONDS);
  }

  /** Stops sending. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #send(): void {
    const { hubAddresses, memberAddresses } = this.#parts;
    const hubs = new Set(hubAddresses());
    const members = memberAddresses().filter((address) => !hubs.has(address));
    this.#sendTo([...hubs], this.#forHubs);
    this.#sendTo(members, this.#forMembers);
    this.#forHubs.clear();
    this.#forMembers.clear();
  }

  #sendTo(
    addresses: readonly string[],
    servers: ReadonlySet<BackendServerId>,
  ): void {
    if (addresses.length === 0) return;
    const { datagrams, knowledge } = this.#parts;
    for (const entries of batch(knowledge.registry.entriesOf(servers))) {
      knowledge.workCounts.increment("registry_sent");
      datagrams.send({
        streamOrigin: undefined,
        archivedOrigin: undefined,
        registryChange: { entries },
      }, addresses);
    }
  }
}

/** Encodes entries in texts that fit into datagrams. */
function batch(entries: readonly RegistryEntry[]): readonly string[] {
  const texts: string[] = [];
  let batched: RegistryEntry[] = [];
  for (const entry of entries) {
    const text = encodeRegistryEntries([...batched, entry]);
    if (batched.length > 0 && text.length > MAXIMUM_DATAGRAM_TEXT_BYTES) {
      texts.push(encodeRegistryEntries(batched));
      batched = [];
    }
    batched.push(entry);
  }
  return batched.length === 0
    ? texts
    : [...texts, encodeRegistryEntries(batched)];
}
