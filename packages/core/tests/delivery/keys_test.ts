import {
  ClaimIndex,
  DeliveryRules,
  epochPrefix,
  type Failure,
  idempotencyKey,
  incarnationId,
  instant,
  type KeyClaim,
  KeyLedger,
  logOffset,
  milliseconds,
  nodeId,
  parseExecutionKey,
  scopePrefix,
} from "@foxtailwind/core";
import test from "ava";
import { err, ok } from "neverthrow";

const KEY = idempotencyKey("key-1");
const NOW = instant(0);

function ledgerOf(maximumAnswerBytes = 100): KeyLedger {
  return new KeyLedger({
    maximumKeys: 2,
    maximumAnswerBytes,
    retention: milliseconds(1_000),
    peer: "node-1",
  }, new DeliveryRules());
}

function claimOf(nonce: string): KeyClaim {
  const node = nodeId(`node-${nonce}`);
  const incarnation = incarnationId(`run-${nonce}`);
  return { key: KEY, nonce, digest: "d", node, incarnation };
}

test("keys are read with their scope, their epoch or neither", (t) => {
  const scope = {
    node: nodeId("node-1"),
    incarnation: incarnationId("run-1"),
    expiresAt: instant(1_234.5),
  };
  const texts = [
    `${scopePrefix(scope)}booking~7`,
    `${epochPrefix(logOffset(12))}booking-7`,
    "booking-7",
    "bound~node-1",
    "bound~node-1~run-1~soon~x",
    "",
  ];
  t.snapshot(texts.map((text) => parseExecutionKey(text)));
});

test("a key with a different body is refused as not run", (t) => {
  const ledger = ledgerOf();
  ledger.admit(NOW, { key: KEY, digest: "one" });
  const second = ledger.admit(NOW, { key: KEY, digest: "two" });
  t.like(second._unsafeUnwrapErr(), {
    reason: "conflict",
    outcome: "not_run",
  });
});

test("an answer that is too large to keep is reported as ran and expired", (t) => {
  const ledger = ledgerOf(3);
  ledger.admit(NOW, { key: KEY, digest: "one" });
  ledger.started(KEY);
  ledger.finished(NOW, KEY, ok(Buffer.from("four")));
  const again = ledger.admit(NOW, { key: KEY, digest: "one" });
  t.like(again._unsafeUnwrap(), {
    kind: "replay",
    result: { error: { reason: "expired", outcome: "ran" } },
  });
  t.is(ledger.answerBytes, 0);
});

test("a key above the maximum number of keys is refused as not run", (t) => {
  const ledger = ledgerOf();
  for (const key of ["a", "b"]) {
    ledger.admit(NOW, { key: idempotencyKey(key), digest: "d" });
  }
  const third = ledger.admit(NOW, { key: KEY, digest: "d" });
  t.like(third._unsafeUnwrapErr(), {
    reason: "overloaded",
    outcome: "not_run",
  });
});

test("starting a run twice violates the at-most-once invariant", (t) => {
  const ledger = ledgerOf();
  ledger.admit(NOW, { key: KEY, digest: "d" });
  ledger.started(KEY);
  t.throws(() => {
    ledger.started(KEY);
  }, { message: /at_most_once/ });
});

test("a key that is proven not run can run again, an unknown one cannot", (t) => {
  const ledger = ledgerOf();
  const failure: Failure = {
    reason: "timeout",
    step: "call_service",
    peer: "server-1",
    message: "Slow.",
    outcome: "not_run",
  };
  for (const outcome of ["not_run", "unknown"] as const) {
    t.is(
      ledger.admit(NOW, { key: KEY, digest: "d" })._unsafeUnwrap().kind,
      "run",
    );
    ledger.started(KEY);
    ledger.finished(NOW, KEY, err({ ...failure, outcome }));
  }
  const last = ledger.admit(NOW, { key: KEY, digest: "d" })._unsafeUnwrap();
  t.is(last.kind, "replay");
});

test("the claim with the lowest offset wins", (t) => {
  const index = new ClaimIndex(milliseconds(1_000));
  index.noteFirstKept(logOffset(0));
  index.apply(NOW, logOffset(0), { id: "r1", claims: [claimOf("1")] });
  index.apply(NOW, logOffset(1), { id: "r2", claims: [claimOf("2")] });
  index.apply(NOW, logOffset(0), { id: "r0", claims: [claimOf("0")] });
  t.is(index.winner(KEY)?.nonce, "1");
  t.false(index.hasRead("r0"));
});

test("an epoch below the retained claims is too old", (t) => {
  const index = new ClaimIndex(milliseconds(1_000));
  index.noteFirstKept(logOffset(0));
  index.apply(NOW, logOffset(0), { id: "r1", claims: [claimOf("1")] });
  t.is(index.checkEpoch(logOffset(0)), "covered");
  t.is(index.checkEpoch(logOffset(9)), "ahead");
  index.prune(instant(2_000));
  t.is(index.checkEpoch(logOffset(0)), "too_old");
  t.is(index.checkEpoch(logOffset(1)), "covered");
});
