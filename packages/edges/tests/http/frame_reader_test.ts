import { FrameReader, type GenerationFrame } from "@foxtailwind/edges";
import test from "ava";
import fc from "fast-check";

const PROPERTY_OPTIONS = { seed: 20_250_102, numRuns: 500 } as const;

const PREFIXES = [
  '{"request":"r","attempt":1,"adapter":{"adapter":"a","version":"1"}',
  '{"request":"s","attempt":1,"adapter":{"adapter":"a","version":"1"}',
  '{"request":"r","attempt":2,"adapter":{"adapter":"a","version":"2"}',
  '{"request":",\\"sequence\\":","attempt":1,"adapter":{"adapter":"a","version":"1"}',
  '{"request":"r","attempt":1,"adapter":{"adapter":"a","version":"1","x":0',
  '{"request":"r","attempt":1,"adapter":{"adapter":"a","version":"1","x":{}}',
  '{"request":"r","attempt":1,"tokens":["x"],"adapter":{"adapter":"a","version":"1"}',
  '{"request":"r","attempt":1,"x":1,"adapter":{"adapter":"a","version":"1"}',
];

const SUFFIXES = [
  ',"sequence":0,"tokens":["a"]}',
  ',"sequence":12,"tokens":["a","b,\\"tokens\\":"]}',
  ',"sequence":12,"tokens":[]}',
  ',"sequence":012,"tokens":["a"]}',
  ',"sequence":1e3,"tokens":["a"]}',
  ',"sequence":-1,"tokens":["a"]}',
  ',"sequence":12345678901,"tokens":["a"]}',
  ',"sequence":,"tokens":["a"]}',
  ',"sequence":1,"tokens":[1]}',
  ',"sequence":1,"tokens":["a"],"request":"other"}',
  ',"sequence":1,"tokens":["a"],"tokens":["b"]}',
  ',"sequence":1,"tokens":["a"],"more":["b"]}',
  ',"sequence":1,"request":"other","tokens":["a"]}',
  ',"sequence":1,"tokens":["a"]}}',
  ',"sequence":1,"tokens":["a"]',
  ',"sequence":1},"sequence":2,"tokens":["a"]}',
  '},"sequence":1,"tokens":["a"]}',
  "}",
];

function parseOrUndefined(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

test("the reader returns the same values as parsing each line", (t) => {
  const line = fc.tuple(
    fc.constantFrom(...PREFIXES),
    fc.constantFrom(...SUFFIXES),
  ).map(([head, tail]) => head + tail);
  fc.assert(
    fc.property(fc.array(line, { maxLength: 20 }), (lines) => {
      const reader = new FrameReader();
      for (const text of lines) {
        t.deepEqual(reader.read(text), parseOrUndefined(text));
      }
    }),
    PROPERTY_OPTIONS,
  );
});

test("frames share the prefix that is cached from the first", (t) => {
  const reader = new FrameReader();
  const lines = ["1", "2", "3"].map((sequence) =>
    `${PREFIXES[0] ?? ""},"sequence":${sequence},"tokens":["a"]}`
  );
  const [, second, third] = lines.map((text) =>
    reader.read(text) as GenerationFrame
  );
  t.is(third?.sequence, 3);
  t.is(third?.adapter, second?.adapter);
});
