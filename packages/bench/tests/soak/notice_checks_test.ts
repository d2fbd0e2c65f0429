/** What the relay's soak checks after answers that ask for a backoff. */
import {
  checkNotices,
  RelaySoakRecord,
  type SendRecord,
} from "@foxtailwind/bench";
import { serverStart } from "@foxtailwind/core";
import test, { type ExecutionContext } from "ava";

const NODE = "node-1#1";
/** When the server writes the answer, and when the node reads it. */
const ANSWER = { writtenAt: 1_000, readAt: 1_020 } as const;
const BACKOFF_SECONDS = 2;

interface LaterSend {
  /** When the node writes it. */
  readonly writtenAt: number;
  /** When the server reads it. */
  readonly at: number;
}

/** Checks the sends of a node after an answer that asks for a backoff. */
function check(t: ExecutionContext, later: readonly LaterSend[]) {
  const record = new RelaySoakRecord();
  record.stalls.stop();
  const node = {
    name: NODE,
    lines: [],
    outages: [],
    lostServersAt: [],
    lostPeersAt: [],
    startedAt: 0,
  };
  record.nodeRuns.set(NODE, node);
  const send = (request: string, rest: Partial<SendRecord>) => {
    record.calls.push({
      id: request,
      kind: "once",
      leastVersion: 1,
      node,
      sentAt: 0,
      limit: 1_500,
      end: { at: 5_000, status: 503, isComplete: true, body: "" },
    });
    record.sent({
      request,
      service: "plain",
      server: "plain-1",
      sentBy: NODE,
      at: 0,
      times: {},
      made: "run",
      framing: "length",
      start: serverStart(1),
      isLeaving: false,
      end: "whole",
      ...rest,
    });
  };
  send("refused", {
    at: ANSWER.writtenAt - 10,
    headAt: ANSWER.writtenAt,
    times: { writtenAt: 900, answeredAt: ANSWER.readAt },
    made: "refuse",
    retryAfter: BACKOFF_SECONDS,
  });
  for (const [index, { writtenAt, at }] of later.entries()) {
    send(`later-${index}`, { at, times: { writtenAt } });
  }
  checkNotices(record);
  t.log(record.broken.map(({ detail }) => detail).join("\n"));
  return record.broken.map(({ invariant }) => invariant);
}

// Guards against a report of requests that were on their way: a server of a busy
// process may read them seconds after its own refusal.
test("requests that a node wrote before it read the refusal may arrive later", (t) => {
  const later = [950, 980, 1_000, 1_019].map((writtenAt) => ({
    writtenAt,
    at: writtenAt + 1_500,
  }));
  t.deepEqual(check(t, later), []);
});

test("requests that a node writes during a backoff are noticed as soon as it has read the refusal", (t) => {
  const later = [1_021, 1_022, 1_023].map((writtenAt) => ({
    writtenAt,
    at: writtenAt + 1,
  }));
  t.deepEqual(check(t, later), ["backoff_is_respected"]);
});

test("requests that a node writes at the end of a backoff are noticed", (t) => {
  const later = [2_900, 2_950, 2_999].map((writtenAt) => ({
    writtenAt,
    at: writtenAt + 500,
  }));
  t.deepEqual(check(t, later), ["backoff_is_respected"]);
});

test("requests after a backoff are allowed", (t) => {
  const later = [3_000, 3_001, 3_002].map((writtenAt) => ({
    writtenAt,
    at: writtenAt + 1,
  }));
  t.deepEqual(check(t, later), []);
});
