import {
  instant,
  serviceId,
  softwareVersion,
  type StreamSource,
  StreamSources,
} from "@foxtailwind/core";
import test from "ava";

const HOST = "one.example";
const PATH = "/notes/2f";

function sourceOf(
  software: string,
  { service = "s", pathPrefix = "/notes/" } = {},
): StreamSource {
  return {
    host: HOST,
    pathPrefix,
    service: serviceId(service),
    software: softwareVersion(software),
  };
}

function completeSources(...stored: readonly StreamSource[]): StreamSources {
  const sources = new StreamSources();
  sources.list(instant(0), stored);
  sources.recordComplete();
  return sources;
}

test("a stream of unknown origin was begun by the only source of its path", (t) => {
  const sources = completeSources(sourceOf("1"));
  t.deepEqual(sources.onlySource(HOST, PATH), sourceOf("1"));
  t.is(sources.onlySource("two.example", PATH), undefined);
  t.is(sources.onlySource(HOST, "/other/2f"), undefined);
});

// Guards against streams that are continued by the software that is left, while
// the servers of the one that began them have just gone.
test("a source counts for as long as its streams may be resumed, with or without servers", (t) => {
  const sources = completeSources(sourceOf("1"), sourceOf("2"));
  sources.observe(instant(119_000), [sourceOf("2")]);
  t.deepEqual(sources.expired(instant(119_000)), []);
  t.is(sources.onlySource(HOST, PATH), undefined);
  t.deepEqual(sources.expired(instant(500_000)).map((one) => one.software), [
    softwareVersion("1"),
    softwareVersion("2"),
  ]);
  sources.recordDropped(sourceOf("1"));
  t.deepEqual(sources.onlySource(HOST, PATH), sourceOf("2"));
});

// Guards against streams that are continued by software that the registry names
// alone, at a node that has read no record of what began them.
test("a node without the whole record tells nothing of unknown origins", (t) => {
  const sources = new StreamSources();
  sources.observe(instant(0), [sourceOf("1")]);
  t.is(sources.onlySource(HOST, PATH), undefined);
  sources.list(instant(0), [sourceOf("1")]);
  t.is(sources.onlySource(HOST, PATH), undefined, "An older copy is back.");
  sources.recordComplete();
  t.deepEqual(sources.onlySource(HOST, PATH), sourceOf("1"));
});

// Guards against streams that are joined from two services after their route has
// moved, or a longer one has been added.
test("every route whose path may have led to a stream counts", (t) => {
  const before = sourceOf("1", { service: "before", pathPrefix: "/" });
  const sources = completeSources(before, sourceOf("1"));
  t.is(sources.onlySource(HOST, PATH), undefined);
  t.deepEqual(sources.onlySource(HOST, "/other/2f"), before);
});

// Guards against a first stream that is sent before its software is stored.
test("a source may begin streams only once the log holds it", (t) => {
  const sources = completeSources();
  sources.observe(instant(0), [sourceOf("1")]);
  t.false(sources.isStored(sourceOf("1")));
  t.deepEqual(sources.missing(), [sourceOf("1")]);
  t.deepEqual(
    sources.onlySource(HOST, PATH),
    sourceOf("1"),
    "Another node may have stored and used it.",
  );
  sources.recordStored(instant(1), sourceOf("1"));
  t.true(sources.isStored(sourceOf("1")));
  t.deepEqual(sources.missing(), []);
});

test("what an older copy of the log lacks is stored again before it is used", (t) => {
  const sources = completeSources(sourceOf("1"), sourceOf("2"));
  sources.list(instant(1_000), [sourceOf("1")]);
  t.true(sources.isStored(sourceOf("1")));
  t.false(sources.isStored(sourceOf("2")));
  t.deepEqual(sources.missing(), [sourceOf("2")]);
  t.is(sources.onlySource(HOST, PATH), undefined, "This run knows both.");
});

// Guards against a source that one node drops while another begins streams.
test("a source that was without servers is stored again before it is used", (t) => {
  const sources = completeSources(sourceOf("1"));
  sources.observe(instant(50_000), [sourceOf("1")]);
  t.true(sources.isStored(sourceOf("1")));
  sources.observe(instant(115_000), [sourceOf("1")]);
  t.false(sources.isStored(sourceOf("1")), "Not registered for 65 s.");
  t.deepEqual(sources.expired(instant(116_000)), []);
});
