/** Tests when a node stores, drops and confirms software that begins streams. */
import {
  STAND_IN_ENGINE_SERVICE,
  standInConfiguration,
  StandInLog,
  standInRegistryEntry,
  StandInStore,
} from "@foxtailwind/bench";
import {
  type Instant,
  instant,
  logOffset,
  type Route,
  softwareVersion,
  type StreamSource,
} from "@foxtailwind/core";
import {
  type Knowledge,
  ProcessClock,
  StreamSourceRecorder,
} from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { nodeRecord } from "../helpers/node_record.ts";
import { createRelayBase } from "../helpers/relay_base.ts";

const POLL_MILLISECONDS = 5;
/** Within it, a node has read the log once more. */
const LOG_READ_MILLISECONDS = 250;
const SECOND = 1_000;

/** A clock that a test sets forward. */
class ShiftedClock extends ProcessClock {
  shiftMilliseconds = 0;

  override now(): Instant {
    return instant(super.now() + this.shiftMilliseconds);
  }
}

/** A node that follows a store. */
class RecordingNode {
  readonly clock = new ShiftedClock();
  readonly #base = createRelayBase({
    part: "configuration",
    clock: this.clock,
  });
  readonly knowledge: Knowledge = this.#base.knowledge;
  readonly log: StandInLog;
  readonly recorder: StreamSourceRecorder;
  isPrepared = false;
  #offset = 0;

  constructor(t: ExecutionContext, store: StandInStore) {
    this.log = new StandInLog(store);
    this.recorder = new StreamSourceRecorder({
      ...this.#base.base,
      knowledge: this.knowledge,
      log: this.log,
    });
    void this.recorder.prepared.then(() => {
      this.isPrepared = true;
    });
    this.log.start(this.knowledge);
    t.teardown(() => {
      this.recorder.stop();
      this.log.stop();
    });
  }

  /** The route whose streams may be resumed. */
  get route(): Route {
    const routes = this.knowledge.routes?.configuration.routes ?? [];
    const route = routes.find(({ resumable }) => resumable);
    if (route === undefined) throw new RangeError("There is no such route.");
    return route;
  }

  serverWith(software: string, id = "a") {
    return standInRegistryEntry({
      id,
      software,
      service: STAND_IN_ENGINE_SERVICE,
      address: "127.0.0.1:1",
    });
  }

  register(software: string, id = "a"): void {
    this.#offset += 1;
    this.knowledge.registryEntry({
      kind: "present",
      offset: logOffset(this.#offset),
      server: this.serverWith(software, id),
    });
  }

  refresh(): void {
    this.recorder.refresh(this.clock.now());
  }

  mayBegin(software: string): boolean {
    return this.recorder.mayBegin(this.route, this.serverWith(software));
  }

  /** Whether it continues streams of unknown origin, at which software. */
  get onlySoftware(): string | undefined {
    const { host, pathPrefix } = this.route;
    return this.knowledge.streamRecord.sources.onlySource(host, pathPrefix)
      ?.software;
  }
}

function startStore(): StandInStore {
  const store = new StandInStore();
  store.configure(standInConfiguration(1, 3));
  return store;
}

function softwareOf(sources: readonly StreamSource[]): readonly string[] {
  return sources.map(({ software }) => software).toSorted();
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(POLL_MILLISECONDS);
}

// Guards against a first stream that is sent before its software is stored, and
// against nodes that think that only one version has begun streams.
test("software begins no stream before the log holds it", async (t) => {
  const store = startStore();
  const node = new RecordingNode(t, store);
  store.isUp = false;
  t.false(node.mayBegin("1"));
  await sleep(POLL_MILLISECONDS);
  t.false(node.mayBegin("1"));
  t.deepEqual(store.streamSources, []);
  store.isUp = true;
  await waitUntil(() => node.mayBegin("1"));
  t.deepEqual(softwareOf(store.streamSources), ["1"]);
});

test("software is stored once it registers, before any request", async (t) => {
  const store = startStore();
  const node = new RecordingNode(t, store);
  for (const software of ["1", "2"]) node.register(software, software);
  await waitUntil(() => {
    node.refresh();
    return store.streamSources.length === 2;
  });
  t.deepEqual(softwareOf(store.streamSources), ["1", "2"]);
  t.is(node.onlySoftware, undefined);
});

// Guards against streams that nobody continues after all nodes were lost.
test("a node that has just started knows the only software that began streams", async (t) => {
  const store = startStore();
  const node = new RecordingNode(t, store);
  await waitUntil(() => node.mayBegin("1"));
  const later = new RecordingNode(t, store);
  t.is(later.onlySoftware, "1");
});

// Guards against streams joined from two versions: the servers of the one that
// began them had just left when all nodes were lost.
test("a node that has just started knows of software whose servers are gone", async (t) => {
  const store = startStore();
  const node = new RecordingNode(t, store);
  await waitUntil(() => node.mayBegin("1") && node.mayBegin("2"));
  const later = new RecordingNode(t, store);
  later.register("2");
  later.refresh();
  t.is(later.onlySoftware, undefined);
});

test("a node announces itself only once an empty record is confirmed", async (t) => {
  const store = startStore();
  const first = new RecordingNode(t, store);
  await waitUntil(() => first.isPrepared);
  t.is(first.knowledge.streamRecord.state, "confirmed");
  const second = new RecordingNode(t, store);
  await waitUntil(() => second.isPrepared);
  t.is(second.knowledge.streamRecord.state, "confirmed");
});

// Guards against nodes that take the streams of an earlier program, which keeps
// no record, for those of the only software that is recorded.
test("a log that nodes have used without a record is not trusted", async (t) => {
  const store = startStore();
  store.appendNode(nodeRecord("earlier"));
  const node = new RecordingNode(t, store);
  await waitUntil(() => node.isPrepared);
  await waitUntil(() => node.mayBegin("1"));
  t.is(node.knowledge.streamRecord.state, "unconfirmed");
  t.is(node.onlySoftware, undefined);
});

// Guards against streams joined from two versions after the log came back from a
// copy that lacks one of them.
test("the record of an older copy isn't believed by a node that has just started", async (t) => {
  const store = startStore();
  const node = new RecordingNode(t, store);
  await waitUntil(() => node.mayBegin("1"));
  const copy = store.copy();
  await waitUntil(() => node.mayBegin("2"));
  node.log.stop();
  store.restore(copy);
  const later = new RecordingNode(t, store);
  t.deepEqual(softwareOf(store.streamSources), ["1"]);
  t.is(later.onlySoftware, undefined);
});

test("a node that saw the log go back stores again what was lost, and confirms it later", async (t) => {
  const store = startStore();
  const node = new RecordingNode(t, store);
  await waitUntil(() => node.mayBegin("1"));
  const copy = store.copy();
  await waitUntil(() => node.mayBegin("2"));
  store.restore(copy);
  t.is(node.onlySoftware, undefined, "It knows both.");
  await waitUntil(() => {
    node.refresh();
    return store.streamSources.length === 2;
  });
  t.is(node.knowledge.streamRecord.state, "unconfirmed");
  node.clock.shiftMilliseconds = 11 * SECOND;
  await waitUntil(() => {
    node.refresh();
    return node.knowledge.streamRecord.state === "confirmed";
  });
  const later = new RecordingNode(t, store);
  t.true(later.knowledge.streamRecord.sources.isComplete);
  t.is(later.onlySoftware, undefined);
});

// Guards against a version that is dropped while its streams may be resumed.
test("software is dropped long after its last server", async (t) => {
  const store = startStore();
  const node = new RecordingNode(t, store);
  await waitUntil(() => node.mayBegin("1") && node.mayBegin("2"));
  node.register("2");
  for (const seconds of [0, 100, 200]) {
    node.clock.shiftMilliseconds = seconds * SECOND;
    // Long enough for the node to read the log by its clock.
    await sleep(LOG_READ_MILLISECONDS);
    node.refresh();
    await sleep(POLL_MILLISECONDS);
    t.deepEqual(softwareOf(store.streamSources), ["1", "2"], `${seconds} s`);
  }
  node.clock.shiftMilliseconds = 260 * SECOND;
  await waitUntil(() => {
    node.refresh();
    return store.streamSources.length === 1;
  });
  t.deepEqual(softwareOf(store.streamSources), [softwareVersion("2")]);
  t.is(node.onlySoftware, "2");
});
