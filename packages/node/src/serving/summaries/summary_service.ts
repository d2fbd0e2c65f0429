import {
  type AdapterKey,
  type AdapterWithStanding,
  type EngineController,
  type EngineId,
} from "@foxtailwind/core";
import {
  EngineSummariesService,
  type EngineSummary,
  type WatchRequest,
} from "@foxtailwind/protocol";
import type { ServerWritableStream } from "@grpc/grpc-js";
import type { PeerRegistration } from "../../peers/peer_server.ts";
import { toSummaryMessage } from "./summary_messages.ts";

const SUMMARY_INTERVAL_MILLISECONDS = 100;
/** The intervals until an unchanged summary is repeated, as a heartbeat. */
const MAXIMUM_UNCHANGED_INTERVALS = 20;

type SummaryStream = ServerWritableStream<WatchRequest, EngineSummary>;

/** Lists the controllers of the engines that this node controls. */
export type ControlledEngines = () => Iterable<EngineController>;

/** Sends summaries of the engines that this node controls to other nodes. */
export class SummaryService {
  readonly #controlledEngines: ControlledEngines;
  readonly #streams = new Set<SummaryStream>();

  /** @param controlledEngines Lists the controllers of the engines. */
  constructor(controlledEngines: ControlledEngines) {
    this.#controlledEngines = controlledEngines;
  }

  /** The service's registration with the peer server. */
  get registration(): PeerRegistration {
    return {
      definition: EngineSummariesService,
      implementation: {
        watch: (stream: SummaryStream) => {
          this.#serve(stream);
        },
      },
    };
  }

  /** Ends all streams, so that the server can stop. */
  close(): void {
    for (const stream of this.#streams) stream.end();
  }

  #serve(stream: SummaryStream): void {
    this.#streams.add(stream);
    const session = new SummarySession(stream, this.#controlledEngines);
    const timer = setInterval(() => {
      session.send();
    }, SUMMARY_INTERVAL_MILLISECONDS);
    const finish = (): void => {
      clearInterval(timer);
      this.#streams.delete(stream);
    };
    stream.on("cancelled", finish);
    stream.on("finish", finish);
    stream.on("close", finish);
    session.send();
  }
}

interface SentSummary {
  readonly standings: ReadonlyMap<AdapterKey, AdapterWithStanding>;
  readonly serialized: string;
  readonly unchangedIntervals: number;
}

/** The stream to one watching node, which receives only changes. */
class SummarySession {
  readonly #stream: SummaryStream;
  readonly #controlledEngines: ControlledEngines;
  readonly #sentSummaries = new Map<EngineId, SentSummary>();

  constructor(stream: SummaryStream, controlledEngines: ControlledEngines) {
    this.#stream = stream;
    this.#controlledEngines = controlledEngines;
  }

  send(): void {
    const released = new Set(this.#sentSummaries.keys());
    for (const controller of this.#controlledEngines()) {
      released.delete(controller.engine);
      this.#sendEngine(controller);
    }
    for (const engine of released) this.#release(engine);
  }

  #sendEngine(controller: EngineController): void {
    const { engine, summary } = controller;
    const previous = this.#sentSummaries.get(engine);
    const standings = new Map(
      controller.standings().map((entry) => [entry.key, entry]),
    );
    const changes = changedStandings(previous?.standings, standings);
    const serialized = JSON.stringify(summary);
    const unchangedIntervals = (previous?.unchangedIntervals ?? 0) + 1;
    const isUnchanged = previous?.serialized === serialized &&
      changes.length === 0;
    if (isUnchanged && unchangedIntervals < MAXIMUM_UNCHANGED_INTERVALS) {
      this.#sentSummaries.set(engine, {
        standings,
        serialized,
        unchangedIntervals,
      });
      return;
    }
    this.#sentSummaries.set(engine, {
      standings,
      serialized,
      unchangedIntervals: 0,
    });
    const isWhole = previous === undefined;
    this.#stream.write(toSummaryMessage(summary, changes, isWhole));
  }

  #release(engine: EngineId): void {
    this.#sentSummaries.delete(engine);
    this.#stream.write({
      engine,
      released: true,
      whole: false,
      changes: [],
      weight: 0,
      firstTokenMilliseconds: 0,
      serviceMilliseconds: 0,
      batchCapacity: 0,
      places: 0,
      running: 0,
      awaitedAdapters: 0,
      canMakeRoom: false,
      classes: [],
    });
  }
}

function changedStandings(
  before: ReadonlyMap<AdapterKey, AdapterWithStanding> | undefined,
  after: ReadonlyMap<AdapterKey, AdapterWithStanding>,
): readonly AdapterWithStanding[] {
  const changes: AdapterWithStanding[] = [];
  for (const [key, entry] of after) {
    if (before?.get(key)?.standing !== entry.standing) changes.push(entry);
  }
  for (const [key, entry] of before ?? []) {
    if (!after.has(key)) changes.push({ ...entry, standing: "absent" });
  }
  return changes;
}
