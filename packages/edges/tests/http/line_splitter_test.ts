import { LineSplitter, LineTooLongError } from "@foxtailwind/edges";
import test from "ava";
import fc from "fast-check";

const PROPERTY_OPTIONS = { seed: 20_250_101, numRuns: 300 } as const;
const MAXIMUM_LINE_BYTES = 1_024;

function splitIntoLines(chunks: readonly Buffer[]): readonly string[] {
  const lines: string[] = [];
  const splitter = new LineSplitter(
    (line) => lines.push(line),
    MAXIMUM_LINE_BYTES,
  );
  for (const chunk of chunks) splitter.push(chunk);
  return lines;
}

function splitAt(
  bytes: Buffer,
  cutPoints: readonly number[],
): readonly Buffer[] {
  const offsets = cutPoints.map((border) => border % (bytes.length + 1));
  const boundaries = [0, ...offsets.sort((a, b) => a - b), bytes.length];
  return boundaries.slice(1).map((end, index) =>
    bytes.subarray(boundaries[index], end)
  );
}

test("lines are complete wherever the chunks are split", (t) => {
  const line = fc.string({ unit: "grapheme", minLength: 1, maxLength: 20 })
    .filter((text) => !text.includes("\n"));
  fc.assert(
    fc.property(
      fc.array(line, { maxLength: 8 }),
      fc.array(fc.nat(), { maxLength: 12 }),
      (lines, borders) => {
        const bytes = Buffer.from(lines.map((text) => `${text}\n`).join(""));
        t.deepEqual(splitIntoLines(splitAt(bytes, borders)), lines);
      },
    ),
    PROPERTY_OPTIONS,
  );
});

test("empty lines are skipped and an incomplete line is buffered", (t) => {
  t.deepEqual(splitIntoLines([Buffer.from("\n\none\n\ntwo\nopen")]), [
    "one",
    "two",
  ]);
});

test("a line longer than the limit throws", (t) => {
  const chunk = Buffer.alloc(MAXIMUM_LINE_BYTES, "x");
  t.throws(() => splitIntoLines([chunk, chunk]), {
    instanceOf: LineTooLongError,
  });
});
