import {
  type BackendServerId,
  elapsed,
  type Instant,
  milliseconds,
  type RegisteredServer,
  requestId,
} from "@foxtailwind/core";
import { randomBytes } from "node:crypto";
import type { SteadyClock } from "../clock/steady_clock.ts";
import {
  AnswerHandler,
  type AnswerHead,
  BackendCall,
  type DataDecision,
  type HeadDecision,
} from "./backend_call.ts";
import type { BackendPools } from "./backend_pools.ts";
import type { AnswerFacts, RelayWire } from "./caller_wire.ts";
import type { Knowledge } from "./knowledge.ts";

/** The time from one probe of a server to the next. */
const PROBE_INTERVAL = milliseconds(500);
/** How long a server may take to answer a probe. */
const PROBE_TIMEOUT_MILLISECONDS = 1_000;
const PROBE_ID_BYTES = 8;

/** The dependencies of {@link DepartureProber}. */
export interface DepartureProberParts {
  readonly knowledge: Pick<Knowledge, "departures">;
  readonly pools: Pick<BackendPools, "createSingleUseClient">;
  readonly wire: Pick<RelayWire, "probeHeaders" | "readAnswer">;
  readonly clock: SteadyClock;
}

/** Asks restarted servers whether they leave, by requests that they reject. */
export class DepartureProber {
  readonly #parts: DepartureProberParts;
  readonly #probedAt = new Map<BackendServerId, Instant>();

  /** @param parts The dependencies. */
  constructor(parts: DepartureProberParts) {
    this.#parts = parts;
    parts.knowledge.departures.onUnconfirmed = () => {
      this.refresh();
    };
  }

  /** Probes the servers for which that is due. */
  refresh(): void {
    const now = this.#parts.clock.now();
    const { unconfirmed } = this.#parts.knowledge.departures;
    if (unconfirmed.length === 0) this.#probedAt.clear();
    for (const server of unconfirmed) {
      const probedAt = this.#probedAt.get(server.id);
      const isDue = probedAt === undefined ||
        elapsed(probedAt, now) >= PROBE_INTERVAL;
      if (!isDue) continue;
      this.#probedAt.set(server.id, now);
      void this.#probe(server);
    }
  }

  /** The connection is new: no earlier start of the server can answer on it. */
  async #probe(server: RegisteredServer): Promise<void> {
    const { pools, wire, knowledge } = this.#parts;
    const id = requestId(randomBytes(PROBE_ID_BYTES).toString("hex"));
    const handler = new ProbeHandler(wire, id);
    const call = new BackendCall(handler);
    const client = pools.createSingleUseClient(server);
    call.send(client, {
      method: "GET",
      path: "/",
      headers: wire.probeHeaders(id),
      body: undefined,
      findObstacle: () => undefined,
    });
    const timer = setTimeout(() => {
      call.abort("The probe took too long.");
    }, PROBE_TIMEOUT_MILLISECONDS);
    await call.ended;
    clearTimeout(timer);
    void client.close();
    const { facts } = handler;
    if (facts?.isNotRun !== true) return;
    this.#probedAt.delete(server.id);
    knowledge.departures.applyProbe(
      this.#parts.clock.now(),
      server,
      facts.isLeaving,
    );
  }
}

/** Reads the head of the answer to a probe. */
class ProbeHandler extends AnswerHandler {
  readonly #wire: Pick<RelayWire, "readAnswer">;
  readonly #id: string;
  /** What the answer states, if it has arrived. */
  facts: AnswerFacts | undefined;

  constructor(wire: Pick<RelayWire, "readAnswer">, id: string) {
    super();
    this.#wire = wire;
    this.#id = id;
  }

  override onHead({ status, headers }: AnswerHead): HeadDecision {
    const facts = this.#wire.readAnswer(status, headers);
    const isForProbe = facts.requestId === undefined ||
      facts.requestId === this.#id;
    if (!isForProbe) return "cut";
    this.facts = facts;
    return "drop";
  }

  override onData(): DataDecision {
    return "continue";
  }
}
