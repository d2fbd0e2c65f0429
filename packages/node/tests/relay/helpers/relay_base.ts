import {
  STAND_IN_ENGINE_SERVICE,
  standInConfiguration,
  standInRegistryEntry,
} from "@foxtailwind/bench";
import {
  type BackendServerId,
  logOffset,
  milliseconds,
  type NodeId,
  serverStart,
} from "@foxtailwind/core";
import type { LogComponent } from "@foxtailwind/node";
import {
  Knowledge,
  LoggerFactory,
  ProcessClock,
} from "@foxtailwind/node/relay";
import { relaySettings } from "./relay_settings.ts";

/** Options for a test's node. */
export interface RelayBaseOptions {
  /** The part of the node that logs. */
  readonly part: LogComponent;
  readonly incarnation?: string;
  readonly clock?: ProcessClock;
  /** Receives the log lines, if a test reads them. */
  readonly write?: ((line: string) => void) | undefined;
}

/**
 * Creates the collaborators that the parts of a node share.
 * @param terms The options.
 * @returns The shared collaborators, and a `Knowledge` that uses them.
 */
export function createRelayBase(terms: RelayBaseOptions) {
  const { part, write } = terms;
  const loggers = write === undefined
    ? new LoggerFactory("json", 0, () => undefined)
    : new LoggerFactory("json", 3, write);
  const base = {
    settings: relaySettings(),
    incarnation: terms.incarnation ?? "run-1",
    clock: terms.clock ?? new ProcessClock(),
    logger: loggers.forComponent(part),
  };
  return { base, knowledge: new Knowledge(base) };
}

/** An engine that a node knows, when it started, and who owns it. */
export interface KnownEngine {
  readonly engine: BackendServerId;
  readonly start: number;
  readonly owner: NodeId;
}

/**
 * Adds an engine and its owner to a node's knowledge.
 * @param knowledge The node's knowledge.
 * @param known The engine.
 */
export function addOwnedEngine(knowledge: Knowledge, known: KnownEngine): void {
  const { engine, owner } = known;
  knowledge.configuration(standInConfiguration(1, 2));
  addRegistryEntry(knowledge, { engine, start: known.start, offset: 1 });
  knowledge.claim({
    engine,
    owner,
    incarnation: "run-1",
    wait: milliseconds(0),
  }, logOffset(1));
}

/** An engine's entry in the registry's log. */
export interface EngineEntry {
  readonly engine: BackendServerId;
  /** When it started, in Unix milliseconds. */
  readonly start: number;
  /** The offset of the entry in the log. */
  readonly offset: number;
  /** Whether the engine announces that it leaves. */
  readonly leaving?: boolean;
}

/**
 * Adds an engine's registry entry to a node's knowledge.
 * @param knowledge The node's knowledge.
 * @param entry The entry.
 */
export function addRegistryEntry(
  knowledge: Knowledge,
  { engine, start, offset, leaving = false }: EngineEntry,
): void {
  knowledge.registryEntry({
    kind: "present",
    offset: logOffset(offset),
    server: standInRegistryEntry({
      id: engine,
      start: serverStart(start),
      service: STAND_IN_ENGINE_SERVICE,
      address: "127.0.0.1:1",
      isEngine: true,
      leaving,
    }),
  });
}
