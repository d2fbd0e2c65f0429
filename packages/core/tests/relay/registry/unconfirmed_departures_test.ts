import {
  backendServerId,
  type ServerRun,
  serverStart,
  UnconfirmedDepartures,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const ID = backendServerId("a");
const SEEDS = 300;
const STEPS = 60;

function runOf(start: number): ServerRun {
  return { id: ID, start: serverStart(start) };
}

test("a departure of the known start is certain while it is the newest one", (t) => {
  const departures = new UnconfirmedDepartures();
  t.false(departures.recordAnswer(runOf(1), serverStart(1)));
  t.deepEqual([...departures.servers], []);
});

test("a restart after a departure makes the next start uncertain, once", (t) => {
  const departures = new UnconfirmedDepartures();
  departures.recordAnswer(runOf(1), serverStart(1));
  t.true(departures.recordRestart(ID));
  t.deepEqual([...departures.servers], [ID]);
  departures.resolve(ID);
  t.deepEqual([...departures.servers], []);
  t.false(departures.recordRestart(ID), "The departure was of another start.");
});

test("a restart without a departure is certain", (t) => {
  t.false(new UnconfirmedDepartures().recordRestart(ID));
});

test("a departure in a late answer makes the newest start uncertain", (t) => {
  const departures = new UnconfirmedDepartures();
  t.true(departures.recordAnswer(runOf(1), serverStart(2)));
  t.false(departures.recordAnswer(runOf(1), serverStart(2)), "It is already.");
  t.deepEqual([...departures.servers], [ID]);
});

test("a departure of an unknown start is that of the newest one", (t) => {
  const departures = new UnconfirmedDepartures();
  t.false(departures.recordAnswer({ id: ID }, serverStart(2)));
  t.deepEqual([...departures.servers], []);
});

/** A server that restarts under its id, and a node that learns of it late. */
class RestartingServer {
  readonly departures = new UnconfirmedDepartures();
  readonly #recorded = new Set<number>();
  /** Starts that have announced their departure to the node. */
  readonly #announced = new Set<number>();
  start = 1;
  known = 1;

  get takesRequests(): boolean {
    return !this.#recorded.has(this.known) && !this.departures.servers.has(ID);
  }

  /** The present start answers a request that was sent to a known one. */
  announce(sentTo: number): void {
    this.#announced.add(this.start);
    this.#recorded.add(sentTo);
    this.departures.recordAnswer(runOf(sentTo), serverStart(this.known));
  }

  register(): void {
    if (this.known === this.start) return;
    this.known = this.start;
    this.departures.recordRestart(ID);
  }

  /** The node asks the present start. */
  probe(): void {
    if (!this.departures.servers.has(ID)) return;
    this.departures.resolve(ID);
    if (this.#announced.has(this.start)) this.announce(this.known);
  }

  get isKnown(): boolean {
    return this.known === this.start;
  }

  get hasAnnounced(): boolean {
    return this.#announced.has(this.start);
  }
}

// Guards against departures that are forgotten when the start that announced
// them becomes known, and against healthy servers that are left unused.
test("a start that announced its departure gets no requests, and any other one does after a probe", (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = new SeededRandom(seed);
    const server = new RestartingServer();
    for (let step = 1; step <= STEPS; step += 1) {
      const draw = random.next();
      if (draw < 0.25) server.announce(server.known);
      else if (draw < 0.35) server.announce(Math.max(1, server.known - 1));
      else if (draw < 0.55) server.start += 1;
      else if (draw < 0.8) server.register();
      else if (server.isKnown) server.probe();
      const told = `seed ${seed}, step ${step}`;
      if (server.hasAnnounced) t.false(server.takesRequests, told);
    }
    server.start += 1;
    server.register();
    server.probe();
    t.true(server.takesRequests, `seed ${seed}, healthy start`);
  }
});
