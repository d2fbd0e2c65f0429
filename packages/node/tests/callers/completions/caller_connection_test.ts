import { CallerConnection } from "@foxtailwind/node";
import test from "ava";
import type { ServerResponse } from "node:http";
import { Writable } from "node:stream";

const LIMITS = { unreadMilliseconds: 60_000, unreadBytes: 1_000 };
const BUFFER_BYTES = 10;

/** A caller that reads only on demand, and the recorded reactions. */
function createSlowCaller(limits = LIMITS) {
  const events: string[] = [];
  let read: () => void = () => undefined;
  const response = new Writable({
    highWaterMark: BUFFER_BYTES,
    write(_chunk, _encoding, callback) {
      read = callback;
    },
  });
  const connection = new CallerConnection(
    response as unknown as ServerResponse,
    { limits, onLost: (why) => events.push(why) },
  );
  connection.attach({
    pause: () => events.push("pause"),
    unpause: () => events.push("unpause"),
    cancel: () => events.push("cancel"),
  });
  return {
    connection,
    response,
    events,
    read: () => {
      read();
    },
  };
}

const waitForClose = (response: Writable) =>
  new Promise((resolve) => response.once("close", resolve));

test("the engine is paused until the caller has read", async (t) => {
  const { connection, response, events, read } = createSlowCaller();
  connection.write("x".repeat(BUFFER_BYTES));
  connection.write("y");
  t.deepEqual(events, ["pause"]);
  const drained = new Promise((resolve) => response.once("drain", resolve));
  read();
  await new Promise(setImmediate);
  read();
  await drained;
  t.deepEqual(events, ["pause", "unpause"]);
  connection.finish();
});

test("a caller that reads nothing for too long is disconnected and cancelled", async (t) => {
  const { connection, response, events } = createSlowCaller({
    ...LIMITS,
    unreadMilliseconds: 1,
  });
  connection.write("x".repeat(BUFFER_BYTES));
  await waitForClose(response);
  t.deepEqual(events, ["pause", "cut", "cancel"]);
});

test("a caller with too much unread output is disconnected at once", async (t) => {
  const { connection, response, events } = createSlowCaller();
  connection.write("x".repeat(LIMITS.unreadBytes + 1));
  await waitForClose(response);
  t.deepEqual(events, ["cut", "cancel"]);
});

test("a finished response is neither disconnected nor cancelled", async (t) => {
  const { connection, response, events } = createSlowCaller();
  connection.write("x".repeat(BUFFER_BYTES));
  connection.finish();
  response.destroy();
  await waitForClose(response);
  t.deepEqual(events, ["pause"]);
});
