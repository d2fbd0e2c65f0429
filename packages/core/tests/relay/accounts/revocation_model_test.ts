import {
  AccountTable,
  apiKeyDigest,
  clientAccountId,
  ConfigurationFreshness,
  decideAccess,
  type Duration,
  type Instant,
  instant,
  milliseconds,
} from "@foxtailwind/core";
import test from "ava";
import fc from "fast-check";

/**
 * Plays nodes that read the store and ask each other, with every message
 * delayed for as long as a pause or a cut may delay it, while an operator
 * revokes a key. Times are in ticks.
 */

const NODE_COUNT = 3;
const END = 30;
/** How long a revoked key may be used. */
const REVOCATION_TIME = milliseconds(10);
const KEY = apiKeyDigest("key");
const WITH_KEY = new AccountTable([{
  id: clientAccountId("one"),
  keys: [KEY],
}]);
const WITHOUT_KEY = new AccountTable([]);

/** The offset of the record that revokes the key. */
const REVOCATION_OFFSET = 1;

class ModelNode {
  readonly freshness = new ConfigurationFreshness();
  readonly #clockOffset: number;
  /** The offset up to which it has the operators' records. */
  end = 0;

  constructor(clockOffset: number) {
    this.#clockOffset = clockOffset;
  }

  clock(time: number): Instant {
    return instant(time + this.#clockOffset);
  }

  age(time: number): Duration | undefined {
    return this.freshness.age(this.clock(time));
  }

  admits(time: number): boolean {
    const hasRevocation = this.end > REVOCATION_OFFSET;
    const access = decideAccess({
      accounts: hasRevocation ? WITHOUT_KEY : WITH_KEY,
      isAnonymous: false,
      key: KEY,
      configurationAge: this.age(time),
      revocationTime: REVOCATION_TIME,
    });
    return access.kind === "granted";
  }
}

const node = fc.nat(NODE_COUNT - 1);
const time = fc.nat(END);
/** Mostly short; long ones stand for pauses and cuts. */
const delay = fc.oneof(
  { arbitrary: fc.nat(2), weight: 3 },
  { arbitrary: fc.nat(15), weight: 1 },
);
const schedule = fc.record({
  clockOffsets: fc.tuple(fc.nat(1_000), fc.nat(1_000), fc.nat(1_000)),
  revokedAt: time,
  reads: fc.array(
    fc.record({ node, sentAt: time, toStore: delay, back: delay }),
    { minLength: 4, maxLength: 20 },
  ),
  questions: fc.array(
    fc.record({
      node,
      peer: node,
      sentAt: time,
      toPeer: delay,
      back: delay,
      bringsRecords: fc.boolean(),
    }),
    { maxLength: 20 },
  ),
  requests: fc.array(
    fc.record({ node, at: time, wait: delay }),
    { minLength: 10, maxLength: 30 },
  ),
});

type Schedule = typeof schedule extends fc.Arbitrary<infer Value> ? Value
  : never;

/** Returns when requests left for a server, in ticks. */
function play(plan: Schedule): readonly number[] {
  const nodes = plan.clockOffsets.map((offset) => new ModelNode(offset));
  const nodeAt = (index: number) => nodes[index] ?? new ModelNode(0);
  const steps: { readonly at: number; readonly run: () => void }[] = [];
  const leftAt: number[] = [];
  let storeEnd = REVOCATION_OFFSET;
  for (const { node: index, sentAt, toStore, back } of plan.reads) {
    const reader = nodeAt(index);
    const begunAt = reader.clock(sentAt);
    let end = 0;
    steps.push({
      at: sentAt + toStore,
      run: () => {
        end = storeEnd;
      },
    }, {
      at: sentAt + toStore + back,
      run: () => {
        reader.end = Math.max(reader.end, end);
        reader.freshness.recordRead(begunAt);
      },
    });
  }
  for (const question of plan.questions) {
    const asker = nodeAt(question.node);
    const peer = nodeAt(question.peer);
    const askedAt = asker.clock(question.sentAt);
    const answeredAt = question.sentAt + question.toPeer;
    let age: Duration | undefined;
    let end = 0;
    steps.push({
      at: answeredAt,
      run: () => {
        age = peer.age(answeredAt);
        end = peer.end;
      },
    }, {
      at: answeredAt + question.back,
      run: () => {
        if (question.bringsRecords) asker.end = Math.max(asker.end, end);
        if (age === undefined || end > asker.end) return;
        asker.freshness.recordPeerProof(askedAt, age);
      },
    });
  }
  for (const { node: index, at, wait } of plan.requests) {
    let isAdmitted = false;
    steps.push({
      at,
      run: () => {
        isAdmitted = nodeAt(index).admits(at);
      },
    }, {
      at: at + wait,
      run: () => {
        if (isAdmitted && nodeAt(index).admits(at + wait)) {
          leftAt.push(at + wait);
        }
      },
    });
  }
  // Last of its tick: a read of the same tick may come before it.
  steps.push({
    at: plan.revokedAt,
    run: () => {
      storeEnd = REVOCATION_OFFSET + 1;
    },
  });
  for (const step of steps.toSorted((left, right) => left.at - right.at)) {
    step.run();
  }
  return leftAt;
}

test("no request leaves with a key that was revoked one revocation time ago, in any order of reads, questions, delays and pauses", (t) => {
  t.notThrows(() => {
    fc.assert(
      fc.property(schedule, (plan) => {
        const lastAllowed = plan.revokedAt + REVOCATION_TIME;
        return play(plan).every((leftAt) => leftAt < lastAllowed);
      }),
      { numRuns: 20_000, seed: 1 },
    );
  });
});

test("requests leave in the model while the key is valid", (t) => {
  const leaving = fc.sample(schedule, { numRuns: 500, seed: 2 })
    .filter((plan) => play(plan).length > 0);
  t.true(leaving.length > 250, String(leaving.length));
});

test("a node that never reaches the store goes on admitting while a peer proves its records", (t) => {
  const reader = new ModelNode(5);
  const cutOff = new ModelNode(900);
  for (let now = 0; now <= 30; now += 3) {
    reader.end = 1;
    reader.freshness.recordRead(reader.clock(now));
    cutOff.end = reader.end;
    const age = reader.age(now + 1) ?? milliseconds(Infinity);
    cutOff.freshness.recordPeerProof(cutOff.clock(now), age);
    t.true(cutOff.admits(now + 2));
  }
});
