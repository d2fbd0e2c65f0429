import {
  AccountTable,
  apiKeyDigest,
  type ClientAccount,
  clientAccountId,
  decideAccess,
  milliseconds,
  quotaCost,
} from "@foxtailwind/core";
import test from "ava";

const KEY = apiKeyDigest("digest-1");
const OTHER_KEY = apiKeyDigest("digest-2");
const UNKNOWN_KEY = apiKeyDigest("digest-3");
const ACCOUNT: ClientAccount = {
  id: clientAccountId("one"),
  keys: [KEY, OTHER_KEY],
};
const TERMS = {
  accounts: new AccountTable([ACCOUNT]),
  isAnonymous: false,
  key: KEY,
  configurationAge: milliseconds(0),
  revocationTime: milliseconds(5_000),
};

test("each key of an account grants access", (t) => {
  for (const key of [KEY, OTHER_KEY]) {
    const access = decideAccess({ ...TERMS, key });
    t.deepEqual(access, { kind: "granted", account: ACCOUNT });
  }
});

test("an unknown key and a missing one are rejected", (t) => {
  for (const key of [UNKNOWN_KEY, undefined]) {
    t.is(decideAccess({ ...TERMS, key }).kind, "unknown_key");
  }
});

test("an anonymous route needs no key, and an unknown one does no harm there", (t) => {
  for (const key of [UNKNOWN_KEY, undefined]) {
    const access = decideAccess({ ...TERMS, key, isAnonymous: true });
    t.deepEqual(access, { kind: "granted", account: undefined });
  }
  const known = decideAccess({ ...TERMS, isAnonymous: true });
  t.deepEqual(known, { kind: "granted", account: ACCOUNT });
});

test("a configuration without accounts needs no keys", (t) => {
  const access = decideAccess({
    ...TERMS,
    accounts: undefined,
    configurationAge: undefined,
  });
  t.deepEqual(access, { kind: "granted", account: undefined });
});

test("a node without a recent proof decides neither for a key nor against it", (t) => {
  const ages = [4_999, 5_000, 60_000].map(milliseconds);
  for (const key of [KEY, UNKNOWN_KEY]) {
    const kinds = [...ages, undefined].map((configurationAge) =>
      decideAccess({ ...TERMS, key, configurationAge }).kind
    );
    const [fresh, ...others] = kinds;
    t.is(fresh, key === KEY ? "granted" : "unknown_key");
    t.deepEqual(others, ["stale", "stale", "stale"]);
  }
});

test("without a revocation time the age of the configuration does not matter", (t) => {
  const access = decideAccess({
    ...TERMS,
    configurationAge: undefined,
    revocationTime: undefined,
  });
  t.is(access.kind, "granted");
});

test("a request costs its tokens, a plain amount without any, or one request", (t) => {
  const quota = {
    unit: "tokens",
    rate: 1,
    burst: 1,
    plainTokens: 200,
  } as const;
  t.is(quotaCost(quota, 714), 714);
  t.is(quotaCost(quota, undefined), 200);
  t.is(quotaCost({ ...quota, unit: "requests" }, 714), 1);
});
