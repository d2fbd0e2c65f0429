import { EventBoundary, EventSplitter } from "@foxtailwind/core";
import test from "ava";

const STREAM = "id: 1\ndata: a\n\n: note\n\n\nid: 2\ndata: b\n\n";

function boundaryAfter(chunks: readonly Buffer[]): EventBoundary {
  const boundary = new EventBoundary();
  for (const chunk of chunks) boundary.push(chunk);
  return boundary;
}

for (const lineEnd of ["\n", "\r", "\r\n"]) {
  // Guards against streams that were broken off and taken as complete.
  test(`a stream with ${JSON.stringify(lineEnd)} is between events only after an empty line`, (t) => {
    const stream = Buffer.from(STREAM.replaceAll("\n", lineEnd));
    for (let length = 1; length <= stream.length; length += 1) {
      const splitter = new EventSplitter();
      splitter.push(stream.subarray(0, length));
      const isBetween = splitter.remainder.toString().trim() === "";
      for (const size of [1, 2, 3, 5, length]) {
        const chunks = [];
        for (let at = 0; at < length; at += size) {
          chunks.push(stream.subarray(at, Math.min(at + size, length)));
        }
        const boundary = boundaryAfter(chunks);
        t.true(boundary.hasEvent);
        t.is(boundary.isBetweenEvents, isBetween, `${length} in ${size}`);
      }
    }
  });
}

test("empty lines alone are no event", (t) => {
  const boundary = boundaryAfter([Buffer.from("\n"), Buffer.from("\r\n\n")]);
  t.false(boundary.hasEvent);
  t.true(boundary.isBetweenEvents);
});
