import { EventSplitter } from "@foxtailwind/core";
import test from "ava";

const STREAM =
  "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: none\n\nid:3\r\ndata: c\r\n\r\n";

test("events are complete and in order however the bytes are split", (t) => {
  for (let size = 1; size <= STREAM.length; size += 1) {
    const splitter = new EventSplitter();
    const events = [];
    for (let at = 0; at < STREAM.length; at += size) {
      events.push(...splitter.push(Buffer.from(STREAM.slice(at, at + size))));
    }
    t.is(events.map((event) => event.bytes.toString()).join(""), STREAM);
    t.deepEqual(events.map((event) => event.id), ["1", "2", undefined, "3"]);
  }
});

test("an incomplete event is held back, and discarded on reset", (t) => {
  const splitter = new EventSplitter();
  const events = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  t.deepEqual(events.map((event) => event.id), ["1"]);
  t.is(splitter.remainder.toString(), "id: 2\nda");
  splitter.reset();
  t.deepEqual(
    splitter.push(Buffer.from("id: 2\ndata: b\n\n")).map((event) => event.id),
    ["2"],
  );
});

// Guards against events that are never found complete, since their lines end
// otherwise, and against ids that are not seen after a byte order mark.
for (const lineEnd of ["\n", "\r", "\r\n"]) {
  test(`events whose lines end with ${JSON.stringify(lineEnd)} are complete however the bytes are split`, (t) => {
    const stream = Buffer.from(
      "\uFEFFid: 1\ndata: a\n\nid: 2\ndata: b\n\n".replaceAll("\n", lineEnd),
    );
    for (let size = 1; size <= stream.length; size += 1) {
      const splitter = new EventSplitter();
      const events = [];
      for (let at = 0; at < stream.length; at += size) {
        events.push(...splitter.push(stream.subarray(at, at + size)));
      }
      const bytes = [...events.map((event) => event.bytes), splitter.remainder];
      t.is(Buffer.concat(bytes).compare(stream), 0);
      t.is(splitter.remainder.toString().trim(), "");
      t.deepEqual(events.map((event) => event.id), ["1", "2"]);
    }
  });
}
