import { apiKeyDigest, clientAccountId, RevokedKeys } from "@foxtailwind/core";
import test from "ava";

const ONE = clientAccountId("one");

function keyOf(index: number) {
  return apiKeyDigest(`key-${index}`);
}

test("a revoked key is found with its account until it is valid again", (t) => {
  const revoked = new RevokedKeys();
  const before = [{ id: ONE, keys: [keyOf(1), keyOf(2)] }];
  const after = [{ id: ONE, keys: [keyOf(2)] }];
  revoked.recordChange(before, after, 7);
  t.deepEqual(revoked.find(keyOf(1)), { account: ONE, version: 7 });
  t.is(revoked.find(keyOf(2)), undefined);
  revoked.recordChange(after, before, 8);
  t.is(revoked.find(keyOf(1)), undefined);
});

test("only the last thousand revoked keys are remembered", (t) => {
  const revoked = new RevokedKeys();
  const keys = Array.from({ length: 1_001 }, (_, index) => keyOf(index));
  revoked.recordChange([{ id: ONE, keys }], [], 2);
  t.is(revoked.find(keyOf(0)), undefined);
  t.not(revoked.find(keyOf(1_000)), undefined);
});
