import { type Instant, instant } from "@foxtailwind/core";
import {
  BoundedWriter,
  LoggerFactory,
  ProcessClock,
} from "@foxtailwind/node/relay";
import test from "ava";
import { Writable } from "node:stream";

class SetClock extends ProcessClock {
  time: Instant = instant(0);

  override now(): Instant {
    return this.time;
  }
}

test("a burst of requests costs no line that a node says of itself", (t) => {
  const written: string[] = [];
  const stream = new Writable({
    write(chunk: Buffer, _encoding, done) {
      written.push(chunk.toString());
      done();
    },
  });
  const own = new BoundedWriter(stream, new SetClock(), 2);
  const requests = new BoundedWriter(stream, new SetClock(), 2);
  const loggers = new LoggerFactory("json", 3, (line) => {
    own.write(line);
  }, {
    callers: (line) => {
      requests.write(line);
    },
  });
  const callers = loggers.forPart("callers");
  for (let count = 0; count < 10; count += 1) callers.info("A request ended.");
  loggers.forPart("daemon").info("Stopping.");
  t.is(written.length, 3);
  t.regex(written.at(-1) ?? "", /daemon: Stopping\./);
});

test("lines beyond the budget of a second are dropped, counted and told", (t) => {
  const written: string[] = [];
  const stream = new Writable({
    write(chunk: Buffer, _encoding, done) {
      written.push(chunk.toString());
      done();
    },
  });
  const clock = new SetClock();
  clock.time = instant(5_000);
  const writer = new BoundedWriter(stream, clock, 2);
  for (const line of ["a\n", "b\n", "c\n", "d\n"]) writer.write(line);
  clock.time = instant(6_000);
  writer.write("e\n");
  t.is(
    written.join(""),
    'a\nb\n{"level":"warn","message":"log: Lines were dropped.","count":2}\ne\n',
  );
});

test("a reader that does not read never holds up the writer", (t) => {
  const stream = new Writable({
    highWaterMark: 1,
    write() {
      // Never done: the reader has stopped reading.
    },
  });
  const writer = new BoundedWriter(stream, new SetClock(), 1_000_000);
  const line = `${"x".repeat(1_023)}\n`;
  for (let count = 0; count < 2_000; count += 1) writer.write(line);
  t.true(stream.writableLength <= 300 * 1_024);
});
