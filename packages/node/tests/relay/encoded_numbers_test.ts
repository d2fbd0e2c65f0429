/** Tests that all numbers from outside fit the messages between nodes. */
import {
  adapterId,
  backendServerId,
  clientAccountId,
  milliseconds,
  modelId,
} from "@foxtailwind/core";
import {
  decodeUse,
  encodeCount,
  encodeDuration,
  encodeEngineStates,
  encodeSignedDuration,
  encodeUse,
  type RejectedEntry,
} from "@foxtailwind/node/relay";
import {
  AdapterGrant,
  AdapterUse,
  EngineDigest,
  GrantOutcome,
  KnowledgeRequest,
} from "@foxtailwind/protocol";
import test from "ava";
import fastCheck from "fast-check";
import { engineDigest } from "./helpers/node_digest.ts";

const RUNS = { seed: 64, numRuns: 500 };

/** Any number, and often one at a bound of a field. */
const anyNumber = fastCheck.oneof(
  fastCheck.double(),
  fastCheck.constantFrom(
    -(2 ** 53),
    -(2 ** 31) - 1,
    -1,
    0,
    0.5,
    2 ** 31,
    2 ** 32,
    202_612_041_630,
    2 ** 53 - 1,
    2 ** 64,
    Infinity,
    -Infinity,
    Number.NaN,
  ),
);
/** What decoders let through as a version or a priority. */
const safeInteger = fastCheck.oneof(
  fastCheck.maxSafeNat(),
  fastCheck.constantFrom(2 ** 32 - 1, 2 ** 32, Number.MAX_SAFE_INTEGER),
);

test("every number is encoded within its field", (t) => {
  fastCheck.assert(
    fastCheck.property(anyNumber, (value) => {
      const duration = encodeDuration(milliseconds(value));
      const signed = encodeSignedDuration(milliseconds(value));
      const count = encodeCount(value);
      return Number.isInteger(duration) && duration >= 0 &&
        duration < 2 ** 32 && Number.isInteger(signed) &&
        Math.abs(signed) < 2 ** 31 && Number.isSafeInteger(count) && count >= 0;
    }),
    RUNS,
  );
  t.pass();
});

// Guards against a request or a version from outside that ends the nodes which
// name it to one another.
test("requests for uses are encoded whatever callers and operators state", (t) => {
  fastCheck.assert(
    fastCheck.property(
      safeInteger,
      safeInteger,
      anyNumber,
      anyNumber,
      (minimumVersion, priority, time, work) => {
        const message = encodeUse(backendServerId("e"), {
          model: modelId("m"),
          adapter: adapterId("a"),
          minimumVersion,
          prefillTime: milliseconds(time),
          timeLeft: milliseconds(time),
          needsBreak: false,
          queueing: {
            priority,
            account: clientAccountId("c"),
            work,
            longestWait: milliseconds(time),
            onlyInTime: false,
          },
        });
        const bytes = AdapterUse.encode(message).finish();
        const decoded = decodeUse(AdapterUse.decode(bytes));
        return decoded.minimumVersion === minimumVersion &&
          decoded.queueing?.priority === priority;
      },
    ),
    RUNS,
  );
  t.pass();
});

test("versions and capacities keep their values between nodes", (t) => {
  fastCheck.assert(
    fastCheck.property(safeInteger, (value) => {
      const digest = engineDigest("e", {
        room: value,
        adapters: [{
          model: "m",
          adapter: "a",
          version: value,
          isLoading: false,
        }],
      });
      const grant = {
        outcome: GrantOutcome.GRANTED,
        version: value,
        start: value,
        retryAfterMilliseconds: 0,
      };
      const request = { configurationVersion: value };
      const decodedDigest = EngineDigest.decode(
        EngineDigest.encode(digest).finish(),
      );
      return decodedDigest.room === value &&
        decodedDigest.adapters[0]?.version === value &&
        AdapterGrant.decode(AdapterGrant.encode(grant).finish()).version ===
          value &&
        KnowledgeRequest.decode(KnowledgeRequest.encode(request).finish())
            .configurationVersion === value;
    }),
    RUNS,
  );
  t.pass();
});

// Guards against the end of a node whose digest has one entry that can't be
// encoded.
test("an entry that can't be encoded costs no other entry", (t) => {
  const rejected: RejectedEntry[] = [];
  const valid = engineDigest("valid");
  const { states, bytes } = encodeEngineStates({
    engines: [engineDigest("invalid", { running: 0.5 }), valid],
    accounts: [{ account: "c", admitted: 1, demand: -1 }],
    retries: [{
      service: "s",
      own: { requests: 2 ** 32, retries: 0, unsettled: 0 },
      departed: undefined,
    }],
  }, (entry) => rejected.push(entry));
  t.deepEqual(states, { engines: [valid], accounts: [], retries: [] });
  t.true(bytes.length > 0);
  t.deepEqual(
    rejected.map(({ kind, id }) => `${kind} ${id}`),
    ["engine invalid", "account c", "retries s"],
  );
});
