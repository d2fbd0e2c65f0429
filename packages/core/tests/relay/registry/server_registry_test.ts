import {
  backendServerId,
  failureDomainId,
  instant,
  logOffset,
  logPosition,
  type RegistryEntry,
  ServerRegistry,
  serverStart,
  serviceId,
  softwareVersion,
} from "@foxtailwind/core";
import test from "ava";

function present(
  id: string,
  offset: number,
  leaving = false,
  start?: number,
): Extract<RegistryEntry, { kind: "present" }> {
  return {
    kind: "present",
    offset: logOffset(offset),
    server: {
      id: backendServerId(id),
      ...(start === undefined ? {} : { start: serverStart(start) }),
      service: serviceId("service"),
      software: softwareVersion("1"),
      address: "127.0.0.1:1",
      failureDomain: failureDomainId("domain"),
      leaving,
      slots: 1,
      models: [],
      orderCount: 0,
    },
  };
}

function gone(id: string, offset: number): RegistryEntry {
  return { kind: "gone", offset: logOffset(offset), id: backendServerId(id) };
}

function unreadable(id: string, offset: number): RegistryEntry {
  return {
    kind: "gone",
    offset: logOffset(offset),
    id: backendServerId(id),
    isCertain: true,
  };
}

function ids(registry: ServerRegistry): readonly string[] {
  return registry.all.map((server) => server.id).toSorted();
}

test("an older entry never replaces a newer one", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 5, true));
  registry.apply(instant(1), present("a", 4));
  t.true(registry.find(backendServerId("a"))?.leaving);
  registry.apply(instant(2), gone("a", 6));
  registry.apply(instant(3), present("a", 5));
  t.deepEqual(ids(registry), []);
  registry.apply(instant(4), present("a", 7));
  t.deepEqual(ids(registry), ["a"]);
});

test("a single server whose entry vanishes is gone at once", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b", "c"]) registry.apply(instant(0), present(id, 1));
  registry.apply(instant(100), gone("a", 2));
  t.deepEqual(ids(registry), ["b", "c"]);
});

test("entries that vanish around failed store calls are kept until they could have come back", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b", "c"]) registry.apply(instant(0), present(id, 1));
  registry.recordStoreFailure(instant(1_000));
  registry.apply(instant(1_200), gone("a", 2));
  t.deepEqual(ids(registry), ["a", "b", "c"]);
  registry.recordStoreFailure(instant(3_000));
  registry.expire(instant(5_000));
  t.deepEqual(ids(registry), ["a", "b", "c"], "2 s after the last failure");
  registry.expire(instant(5_600));
  t.deepEqual(ids(registry), ["b", "c"], "2.6 s after the last failure");
});

test("servers that vanish together are kept for less time than a departure may take", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b", "c"]) registry.apply(instant(0), present(id, 1));
  registry.apply(instant(1_000), gone("a", 2));
  registry.apply(instant(1_010), gone("b", 3));
  registry.apply(instant(1_020), gone("c", 4));
  t.deepEqual(ids(registry), ["b", "c"]);
  registry.apply(instant(1_800), present("b", 5));
  registry.expire(instant(2_100));
  t.deepEqual(ids(registry), ["b"], "1.1 s after it vanished");
});

test("a listing removes what it lacks", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b", "c"]) registry.apply(instant(0), present(id, 1));
  registry.apply(instant(0), present("d", 9));
  registry.replace(
    instant(10),
    [present("a", 3), present("b", 4)],
    logOffset(8),
  );
  t.deepEqual(ids(registry), ["a", "b", "d"], "d is newer than the listing");
});

test("a server whose address another one uses is removed, also for older entries that follow", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 5));
  registry.removeReplaced(backendServerId("a"));
  t.deepEqual(ids(registry), []);
  registry.apply(instant(1), present("a", 4));
  t.deepEqual(ids(registry), []);
});

test("the entries of one registry reproduce it in another one", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 5));
  registry.apply(instant(0), present("b", 6, true));
  registry.apply(instant(0), gone("c", 7));
  const copy = new ServerRegistry();
  copy.apply(instant(0), present("c", 3));
  for (const entry of registry.changesSince(0).entries) {
    copy.apply(instant(1), entry);
  }
  t.deepEqual(copy.all, registry.all);
});

test("a leaving server stays leaving, whatever later entries say", (t) => {
  const registry = new ServerRegistry();
  const isLeaving = () => registry.find(backendServerId("a"))?.leaving;
  registry.apply(instant(0), present("a", 1));
  registry.apply(instant(100), present("a", 2, true));
  registry.apply(instant(200), present("a", 3));
  t.true(isLeaving());
  registry.apply(instant(300), gone("a", 4));
  registry.apply(instant(400), present("a", 5));
  t.true(isLeaving(), "Also after its end.");
});

test("a server that vanishes after failed calls is kept until a fixed time after the last one", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b", "c"]) registry.apply(instant(0), present(id, 1));
  registry.recordStoreFailure(instant(1_000));
  registry.apply(instant(1_900), gone("a", 2));
  registry.expire(instant(2_700));
  t.deepEqual(ids(registry), ["a", "b", "c"]);
  registry.expire(instant(3_500));
  t.deepEqual(ids(registry), ["b", "c"], "2.5 s after the last failure");
  registry.apply(instant(3_450), gone("b", 3));
  t.deepEqual(ids(registry), ["b", "c"], "A moment before that time ends.");
  registry.expire(instant(4_450));
  t.deepEqual(ids(registry), ["c"], "1 s after it vanished");
});

// Guards against requests to a server that left, while the node's connections to
// the store went silent: the silence was taken for an outage of the store.
test("an entry that vanishes after a call without a response is kept for less time than a departure may take", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b", "c"]) registry.apply(instant(0), present(id, 1));
  registry.recordCallTimeout(instant(1_250));
  registry.apply(instant(1_300), gone("a", 2));
  t.deepEqual(ids(registry), ["a", "b", "c"], "The store may have failed.");
  registry.expire(instant(2_250));
  t.deepEqual(ids(registry), ["a", "b", "c"]);
  registry.expire(instant(2_300));
  t.deepEqual(ids(registry), ["b", "c"], "1 s after it vanished");
});

test("an entry that vanishes after a call without a response may come back", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b", "c"]) registry.apply(instant(0), present(id, 1));
  registry.recordCallTimeout(instant(1_250));
  registry.apply(instant(1_300), gone("a", 2));
  registry.apply(instant(1_900), present("a", 3));
  registry.expire(instant(4_000));
  t.deepEqual(ids(registry), ["a", "b", "c"]);
});

test("a call without a response is a failure of the store if the next one fails, too", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b", "c"]) registry.apply(instant(0), present(id, 1));
  registry.recordCallTimeout(instant(1_000));
  registry.recordStoreFailure(instant(1_600));
  registry.apply(instant(1_700), gone("a", 2));
  registry.expire(instant(4_000));
  t.deepEqual(ids(registry), ["a", "b", "c"]);
  registry.expire(instant(4_200));
  t.deepEqual(ids(registry), ["b", "c"], "2.6 s after the failure");
});

/** Applies entries of one server in order and returns its resulting start. */
function startAfter(
  ...entries: readonly (readonly [offset: number, start: number])[]
): number | undefined {
  const registry = new ServerRegistry();
  for (const [offset, start] of entries) {
    registry.apply(instant(offset), present("a", offset, false, start));
  }
  return registry.find(backendServerId("a"))?.start;
}

test("a server that restarts under its id is neither leaving nor gone", (t) => {
  const registry = new ServerRegistry();
  const found = () => registry.find(backendServerId("a"));
  registry.apply(instant(0), present("a", 1, false, 10));
  registry.apply(instant(1), present("a", 2, true, 10));
  registry.apply(instant(2), present("a", 3, false, 20));
  t.false(found()?.leaving);
  registry.apply(instant(3), gone("a", 4));
  t.is(found(), undefined);
  registry.apply(instant(4), present("a", 5, false, 20));
  t.false(found()?.leaving);
  registry.apply(instant(5), present("a", 6, true, 20));
  registry.apply(instant(6), present("a", 7, false, 20));
  t.true(found()?.leaving, "The same start stays leaving.");
});

test("a server that left without a start is back once an entry names one", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 1, true));
  registry.apply(instant(1), present("a", 2, false));
  t.true(registry.find(backendServerId("a"))?.leaving);
  registry.apply(instant(2), present("a", 3, false, 20));
  t.false(registry.find(backendServerId("a"))?.leaving);
});

test("an entry without a start belongs to the known start", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 1, false, 10));
  t.is(registry.apply(instant(1), present("a", 2, true)), "taken");
  t.is(registry.find(backendServerId("a"))?.start, serverStart(10));
  registry.apply(instant(2), present("a", 3, false, 10));
  t.true(registry.find(backendServerId("a"))?.leaving);
});

test("a late entry of an earlier start changes nothing", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 1, false, 10));
  t.is(registry.apply(instant(1), present("a", 3, false, 20)), "restarted");
  t.is(registry.apply(instant(2), present("a", 2, true, 10)), "older");
  t.is(registry.apply(instant(3), present("a", 4, true, 10)), "older_start");
  const server = registry.find(backendServerId("a"));
  t.is(server?.start, serverStart(20));
  t.false(server?.leaving);
});

test("a superseded start stays superseded after the server has vanished", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 1, false, 10));
  registry.apply(instant(1), present("a", 2, false, 20));
  registry.apply(instant(2), gone("a", 3));
  t.is(registry.apply(instant(3), present("a", 4, false, 10)), "older_start");
  t.is(registry.find(backendServerId("a")), undefined);
  t.is(registry.apply(instant(4), present("a", 5, false, 20)), "taken");
});

test("the log's order decides between starts, even if a clock has stepped back", (t) => {
  t.is(startAfter([1, 20], [2, 10]), 10);
  t.is(startAfter([1, 20], [3, 10], [2, 20]), 10);
  t.is(startAfter([1, 20], [2, 10], [3, 20]), 10, "A late entry.");
  t.is(startAfter([1, 20], [2, 10], [3, 20], [4, 10], [5, 20]), 10);
});

test("a start that goes on writing entries turns out to be the newest", (t) => {
  t.is(startAfter([1, 20], [2, 10], [3, 20], [4, 20]), 20);
  t.is(
    startAfter([1, 20], [2, 10], [3, 20], [3, 20]),
    10,
    "One entry applied twice.",
  );
});

test("a series of restarts ends at the last one, whichever entries are missed", (t) => {
  t.is(startAfter([1, 10], [2, 20], [3, 30], [4, 20], [5, 10]), 30);
  t.is(startAfter([1, 10], [3, 30], [2, 20]), 30);
});

test("a peer's entry of an older start never replaces a newer one", (t) => {
  const peer = new ServerRegistry();
  peer.apply(instant(0), present("a", 5, true, 10));
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 6, false, 20));
  for (const entry of peer.changesSince(0).entries) {
    registry.apply(instant(1), entry);
  }
  t.is(registry.find(backendServerId("a"))?.start, serverStart(20));
  for (const entry of registry.changesSince(0).entries) {
    peer.apply(instant(1), entry);
  }
  t.deepEqual(peer.all, registry.all);
});

test("an answer under another id to a request sent to an earlier start removes nothing", (t) => {
  const registry = new ServerRegistry();
  const id = backendServerId("a");
  registry.apply(instant(0), present("a", 1, false, 10));
  registry.apply(instant(1), present("a", 2, false, 20));
  registry.removeReplaced(id, serverStart(10));
  t.is(registry.find(id)?.start, serverStart(20));
  registry.removeReplaced(id, serverStart(20));
  t.is(registry.find(id), undefined);
});

test("servers with unreadable entries are removed at once, even several together or around failed calls, until their entries are readable", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b", "c"]) registry.apply(instant(0), present(id, 1));
  registry.recordStoreFailure(instant(1_000));
  registry.apply(instant(1_100), unreadable("a", 2));
  registry.apply(instant(1_100), unreadable("b", 3));
  t.deepEqual(ids(registry), ["c"]);
  registry.replace(
    instant(1_200),
    [present("a", 4), unreadable("c", 5)],
    logOffset(6),
  );
  t.deepEqual(ids(registry), ["a"]);
  registry.apply(instant(1_300), unreadable("a", 3));
  t.deepEqual(ids(registry), ["a"], "an older one changes nothing");
});

test("entries that never named a server change nothing, and their number is bounded", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 1));
  const before = registry.revision;
  for (let count = 0; count < 20_000; count += 1) {
    registry.apply(instant(1), unreadable(`foreign-${count}`, 2 + count));
  }
  t.is(registry.revision, before);
  t.deepEqual(ids(registry), ["a"]);
  t.true(registry.changesSince(0).entries.length < 10_000);
});

test("a departure applies even if it arrives after a doubted removal of the server", (t) => {
  const registry = new ServerRegistry();
  const id = backendServerId("a");
  registry.apply(instant(0), present("a", 1));
  registry.recordStoreFailure(instant(10));
  registry.apply(instant(20), gone("a", 3));
  t.false(registry.find(id)?.leaving, "Its entry may merely have lapsed.");
  const before = registry.revision;
  registry.apply(instant(30), present("a", 2, true));
  t.true(registry.find(id)?.leaving);
  t.true(registry.revision > before);
});

test("a departure of an earlier start does not affect its successor", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 1, false, 100));
  registry.apply(instant(1), present("a", 3, false, 200));
  registry.apply(instant(2), present("a", 2, true, 100));
  t.false(registry.find(backendServerId("a"))?.leaving);
});

/** Returns the ids of the servers that have changed since a count. */
function changedSince(registry: ServerRegistry, count: number) {
  return registry.changesSince(count).entries.map((entry) =>
    entry.kind === "gone" ? entry.id : entry.server.id
  );
}

test("changes are listed since any earlier count, whichever entries follow", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 1));
  registry.apply(instant(0), present("b", 2));
  const { changeCount } = registry;
  registry.apply(instant(1), present("b", 3));
  t.is(registry.changeCount, changeCount, "Entries without news.");
  registry.apply(instant(2), present("a", 4, true));
  t.deepEqual(changedSince(registry, changeCount), [backendServerId("a")]);
  t.deepEqual(changedSince(registry, 0), ["b", "a"].map(backendServerId));
  t.deepEqual(changedSince(registry, registry.changeCount), []);
});

// Guards against a removal that peers never hear of: the server's entry may
// have vanished long before it counts as removed, and others changed meanwhile.
test("a removal after a doubt is a change, although later entries were listed before", (t) => {
  const registry = new ServerRegistry();
  for (const id of ["a", "b"]) registry.apply(instant(0), present(id, 1));
  registry.recordStoreFailure(instant(0));
  registry.apply(instant(10), gone("a", 2));
  registry.apply(instant(20), present("b", 3, true));
  const { changeCount } = registry;
  registry.expire(instant(5_000));
  t.deepEqual(changedSince(registry, changeCount), [backendServerId("a")]);
});

test("a removal that peers tell one another of is news only once", (t) => {
  const [left, right] = [new ServerRegistry(), new ServerRegistry()];
  left.apply(instant(0), gone("a", 4));
  for (let round = 0; round < 3; round += 1) {
    for (const [from, to] of [[left, right], [right, left]] as const) {
      for (const entry of from.changesSince(0).entries) {
        to.apply(instant(1), entry);
      }
    }
  }
  t.deepEqual([left.changeCount, right.changeCount], [1, 1]);
});

test("many changes are listed in parts", (t) => {
  const registry = new ServerRegistry();
  for (let id = 0; id < 10; id += 1) {
    registry.apply(instant(0), present(`s${id}`, id));
  }
  const listed: string[] = [];
  let count = 0;
  while (count < registry.changeCount) {
    const changes = registry.changesSince(count, 4);
    t.true(changes.entries.length <= 4);
    listed.push(...changedSince(registry, count).slice(0, 4));
    ({ count } = changes);
  }
  t.is(new Set(listed).size, 10);
  t.is(listed.length, 10);
});

test("a departure that a server told a peer is news, its older entries are not", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), present("a", 5));
  t.false(registry.isNews(present("a", 5)));
  t.false(registry.isNews(present("a", 4)));
  t.true(registry.isNews(present("a", 5, true)));
  t.true(registry.isNews(present("a", 6)));
  t.true(registry.isNews(gone("a", 6)));
});

/** Positions of the era before and after a return from an older copy. */
const before = (offset: number) => logPosition(1, offset);
const after = (offset: number) => logPosition(2, offset);

/** Creates a registry that was read up to offset 100 of the first era. */
function registryAtEnd(...entries: readonly RegistryEntry[]): ServerRegistry {
  const registry = new ServerRegistry();
  registry.replace(instant(0), entries, before(100));
  return registry;
}

test("a departure at an offset that was given out again counts, and so does a restart", (t) => {
  const registry = registryAtEnd(
    present("a", before(95)),
    present("b", before(96), false, 10),
  );
  registry.apply(instant(1), present("a", after(85), true));
  registry.apply(instant(2), present("b", after(86), false, 20));
  t.true(registry.find(backendServerId("a"))?.leaving);
  t.is(registry.find(backendServerId("b"))?.start, serverStart(20));
});

// Guards against servers that are dropped since an older copy lacks them.
test("servers that an older copy lacks are kept until they could have written again, and no longer", (t) => {
  const registry = registryAtEnd(
    present("a", before(90)),
    present("b", before(95)),
  );
  registry.replace(instant(1_000), [], after(80));
  registry.expire(instant(3_400));
  t.deepEqual(ids(registry), ["a", "b"]);
  registry.apply(instant(3_450), present("a", after(80)));
  registry.expire(instant(4_000));
  t.deepEqual(ids(registry), ["a"]);
});

test("a departure known before the copy outlives it", (t) => {
  const registry = registryAtEnd(present("a", before(70)));
  registry.apply(instant(1), present("a", before(101), true));
  const copy = [present("a", after(70))];
  registry.replace(instant(2), copy, after(80));
  t.true(registry.find(backendServerId("a"))?.leaving);
  registry.replace(instant(3), [], after(90));
  t.deepEqual(ids(registry), [], "Its absence is not doubted.");
});

// Guards against a removed server that an older copy brings back.
test("a removed server that an older copy names stays removed unless it writes on", (t) => {
  const registry = registryAtEnd(present("a", before(70)));
  registry.apply(instant(1), gone("a", before(101)));
  const copy = [present("a", after(70))];
  registry.replace(instant(2), copy, after(80));
  registry.replace(instant(600), copy, after(82));
  t.deepEqual(ids(registry), []);
  registry.apply(instant(900), present("a", after(83)));
  t.deepEqual(ids(registry), ["a"]);
});

test("what a peer knows of the era before doesn't replace what was read since", (t) => {
  const peer = registryAtEnd(present("a", before(95)));
  peer.apply(instant(1), gone("a", before(101)));
  const registry = registryAtEnd(present("a", before(95)));
  registry.replace(instant(2), [present("a", after(85))], after(90));
  for (const entry of peer.changesSince(0).entries) {
    if (registry.isNews(entry)) registry.apply(instant(3), entry);
  }
  t.deepEqual(ids(registry), ["a"]);
});
