import {
  instant,
  milliseconds,
  type RegistryRenewal,
  RegistryRenewals,
  type RegistryState,
} from "@foxtailwind/core";
import test from "ava";

/** A member whose hub answers, and whose log is reachable. */
const MEMBER: RegistryState = {
  age: milliseconds(0),
  isHub: false,
  exchangePeriod: milliseconds(600),
  isLogReachable: true,
  doPeersReachLog: true,
};
const HUB: RegistryState = {
  ...MEMBER,
  isHub: true,
  exchangePeriod: milliseconds(300),
};

/** Lists what a node does while its proof grows old and nothing renews it. */
function renewalsOf(state: RegistryState, until: number): readonly string[] {
  const renewals = new RegistryRenewals();
  const done: string[] = [];
  for (let age = 0; age <= until; age += 50) {
    const renewal: RegistryRenewal = renewals.next(instant(age), {
      ...state,
      age: milliseconds(age),
    });
    if (renewal !== "none") done.push(`${age} ${renewal}`);
  }
  return done;
}

test("a hub reads the registry itself once its proof is old, and not in a row", (t) => {
  t.deepEqual(renewalsOf(HUB, 2_000), ["1300 read_log", "1900 read_log"]);
});

test("another node first asks a second hub, then reads the registry", (t) => {
  t.deepEqual(renewalsOf(MEMBER, 2_000), ["1500 ask_hub", "1800 read_log"]);
});

test("a node that exchanges less often relies on its hub for longer", (t) => {
  const state = { ...MEMBER, exchangePeriod: milliseconds(1_000) };
  t.deepEqual(renewalsOf(state, 2_000), ["1900 ask_hub"]);
});

test("a node whose log doesn't answer asks peers only, while one of them reaches it", (t) => {
  const state = { ...MEMBER, isLogReachable: false };
  t.deepEqual(renewalsOf(state, 2_200), ["1500 ask_hub", "2100 ask_hub"]);
  const outage = { ...state, doPeersReachLog: false };
  t.deepEqual(renewalsOf(outage, 5_000), []);
  t.deepEqual(renewalsOf({ ...outage, isHub: true }, 5_000), []);
});

test("a node that never had the whole registry waits for its first listing", (t) => {
  const renewals = new RegistryRenewals();
  const state = { ...HUB, age: undefined };
  t.is(renewals.next(instant(9_000), state), "none");
});

test("the next decision is due when the proof may be too old", (t) => {
  const renewals = new RegistryRenewals();
  const delay = (state: RegistryState, age: number) =>
    renewals.nextDecisionDelay({ ...state, age: milliseconds(age) });
  t.is(delay(HUB, 0), milliseconds(500));
  t.is(delay(HUB, 1_100), milliseconds(200));
  t.is(delay(HUB, 1_299), milliseconds(50));
  t.is(delay(MEMBER, 1_400), milliseconds(100));
});
