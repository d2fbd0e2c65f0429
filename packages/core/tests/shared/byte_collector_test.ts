import { ByteCollector } from "@foxtailwind/core";
import test from "ava";

test("bytes are collected in order however they are split", (t) => {
  const bytes = Buffer.from("a stream of bytes that arrives in pieces");
  for (let size = 1; size <= bytes.length; size += 1) {
    const collector = new ByteCollector();
    for (let at = 0; at < bytes.length; at += size) {
      collector.append(bytes.subarray(at, at + size));
    }
    t.is(collector.length, bytes.length);
    t.is(collector.bytes.compare(bytes), 0);
  }
});

test("collected bytes stay as they are when others follow or all are discarded", (t) => {
  const collector = new ByteCollector();
  collector.append(Buffer.from("first"));
  const { bytes } = collector;
  collector.append(Buffer.from("second"));
  collector.clear();
  collector.append(Buffer.from("third"));
  t.is(bytes.toString(), "first");
  t.is(collector.bytes.toString(), "third");
});

// Guards against one buffer for each piece, which fills the heap when an answer
// arrives in pieces of one byte.
test("pieces of one byte share a storage of at most twice their number", (t) => {
  const collector = new ByteCollector();
  const storages = new Set<ArrayBufferLike>();
  const count = 100_000;
  for (let piece = 0; piece < count; piece += 1) {
    collector.append(Buffer.from("x"));
    storages.add(collector.bytes.buffer);
  }
  t.true(collector.bytes.buffer.byteLength <= 2 * count);
  t.true(storages.size < 20, `${storages.size}`);
});
