import { type Instant, instant } from "@foxtailwind/core";
import {
  BoundedWriter,
  LoggerFactory,
  ProcessClock,
} from "@foxtailwind/node/relay";
import test from "ava";
import { Writable } from "node:stream";

class ManualClock extends ProcessClock {
  currentTime: Instant = instant(0);

  override now(): Instant {
    return this.currentTime;
  }
}

test("a burst of request lines does not displace lines about the node", (t) => {
  const written: string[] = [];
  const stream = new Writable({
    write(chunk: Buffer, _encoding, done) {
      written.push(chunk.toString());
      done();
    },
  });
  const own = new BoundedWriter(stream, new ManualClock(), 2);
  const requests = new BoundedWriter(stream, new ManualClock(), 2);
  const loggers = new LoggerFactory("json", 3, (line) => {
    own.write(line);
  }, {
    callers: (line) => {
      requests.write(line);
    },
  });
  const callers = loggers.forComponent("callers");
  for (let count = 0; count < 10; count += 1) callers.info("A request ended.");
  loggers.forComponent("daemon").info("Stopping.");
  t.is(written.length, 3);
  t.regex(written.at(-1) ?? "", /daemon: Stopping\./);
});

test("lines above the limit per second are dropped, and their count is logged", (t) => {
  const written: string[] = [];
  const stream = new Writable({
    write(chunk: Buffer, _encoding, done) {
      written.push(chunk.toString());
      done();
    },
  });
  const clock = new ManualClock();
  clock.currentTime = instant(5_000);
  const writer = new BoundedWriter(stream, clock, 2);
  for (const line of ["a\n", "b\n", "c\n", "d\n"]) writer.write(line);
  clock.currentTime = instant(6_000);
  writer.write("e\n");
  t.is(
    written.join(""),
    'a\nb\n{"level":"warn","message":"log: Lines were dropped.","count":2}\ne\n',
  );
});

test("a stalled reader does not block the writer", (t) => {
  const stream = new Writable({
    highWaterMark: 1,
    write() {
      // Never calls back, like a reader that has stopped reading.
    },
  });
  const writer = new BoundedWriter(stream, new ManualClock(), 1_000_000);
  const line = `${"x".repeat(1_023)}\n`;
  for (let count = 0; count < 2_000; count += 1) writer.write(line);
  t.true(stream.writableLength <= 300 * 1_024);
});
