import {
  STAND_IN_ENGINES,
  standInConfiguration,
  standInServer,
} from "@foxtailwind/bench";
import {
  type BackendServerId,
  logOffset,
  milliseconds,
  type NodeId,
  serverStart,
} from "@foxtailwind/core";
import type { LogPart } from "@foxtailwind/node";
import {
  Knowledge,
  LoggerFactory,
  ProcessClock,
} from "@foxtailwind/node/relay";
import { relaySettings } from "./relay_settings.ts";

/** How a test's node differs from others. */
export interface RelayBaseTerms {
  /** Which part of the node logs. */
  readonly part: LogPart;
  readonly incarnation?: string;
  readonly clock?: ProcessClock;
  /** Takes the lines of the log, where a test reads them. */
  readonly write?: ((line: string) => void) | undefined;
}

/**
 * Makes what the parts of a node share.
 * @param terms How the node differs.
 * @returns The shared parts, and what the node knows with them.
 */
export function relayBase(terms: RelayBaseTerms) {
  const { part, write } = terms;
  const loggers = write === undefined
    ? new LoggerFactory("json", 0, () => undefined)
    : new LoggerFactory("json", 3, write);
  const base = {
    settings: relaySettings(),
    incarnation: terms.incarnation ?? "run-1",
    clock: terms.clock ?? new ProcessClock(),
    logger: loggers.forPart(part),
  };
  return { base, knowledge: new Knowledge(base) };
}

/** Which engine a node knows, since when, and who owns it. */
export interface KnownEngine {
  readonly engine: BackendServerId;
  readonly start: number;
  readonly owner: NodeId;
}

/**
 * Tells a node of one engine and its owner.
 * @param knowledge What the node knows.
 * @param known The engine.
 */
export function knowEngine(knowledge: Knowledge, known: KnownEngine): void {
  const { engine, owner } = known;
  knowledge.configuration(standInConfiguration(1, 2));
  registerEngine(knowledge, { engine, start: known.start, offset: 1 });
  knowledge.claim({
    engine,
    owner,
    incarnation: "run-1",
    wait: milliseconds(0),
  }, logOffset(1));
}

/** An entry of an engine in the registry's log. */
export interface EngineEntry {
  readonly engine: BackendServerId;
  /** When it has started, in Unix milliseconds. */
  readonly start: number;
  /** Where the log has the entry. */
  readonly offset: number;
  /** Whether the engine says that it leaves. */
  readonly leaving?: boolean;
}

/**
 * Tells a node of an engine's entry.
 * @param knowledge What the node knows.
 * @param entry The entry.
 */
export function registerEngine(
  knowledge: Knowledge,
  { engine, start, offset, leaving = false }: EngineEntry,
): void {
  knowledge.registryEntry({
    kind: "present",
    offset: logOffset(offset),
    server: standInServer({
      id: engine,
      start: serverStart(start),
      service: STAND_IN_ENGINES,
      address: "127.0.0.1:1",
      isEngine: true,
      leaving,
    }),
  });
}
