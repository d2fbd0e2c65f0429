import { LineSplitter, LineTooLongError } from "@foxtailwind/edges";
import test from "ava";
import fc from "fast-check";

const RUNS = { seed: 20_250_101, numRuns: 300 } as const;
const LIMIT = 1_024;

function split(chunks: readonly Buffer[]): readonly string[] {
  const lines: string[] = [];
  const splitter = new LineSplitter((line) => lines.push(line), LIMIT);
  for (const chunk of chunks) splitter.push(chunk);
  return lines;
}

function cut(bytes: Buffer, borders: readonly number[]): readonly Buffer[] {
  const places = borders.map((border) => border % (bytes.length + 1));
  const ordered = [0, ...places.sort((a, b) => a - b), bytes.length];
  return ordered.slice(1).map((end, index) =>
    bytes.subarray(ordered[index], end)
  );
}

test("lines come out whole wherever the chunks are cut", (t) => {
  const line = fc.string({ unit: "grapheme", minLength: 1, maxLength: 20 })
    .filter((text) => !text.includes("\n"));
  fc.assert(
    fc.property(
      fc.array(line, { maxLength: 8 }),
      fc.array(fc.nat(), { maxLength: 12 }),
      (lines, borders) => {
        const bytes = Buffer.from(lines.map((text) => `${text}\n`).join(""));
        t.deepEqual(split(cut(bytes, borders)), lines);
      },
    ),
    RUNS,
  );
});

test("empty lines are left out and an open line is held back", (t) => {
  t.deepEqual(split([Buffer.from("\n\none\n\ntwo\nopen")]), ["one", "two"]);
});

test("a line past the limit stops the reading", (t) => {
  const chunk = Buffer.alloc(LIMIT, "x");
  t.throws(() => split([chunk, chunk]), { instanceOf: LineTooLongError });
});
