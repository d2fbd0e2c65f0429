import {
  adapterId,
  adapterKey,
  adapterVersion,
  engineId,
  instant,
  LoadPermitIssuer,
  type LoadWish,
  PERMIT_LIFETIME,
  seconds,
  staticShare,
} from "@foxtailwind/core";
import test from "ava";

const LIMITS = { loadsPerSecond: 5, concurrentLoads: 2 };

function wish(name: string, urgency: number, engine = "engine-1"): LoadWish {
  const adapter = {
    adapter: adapterId(name),
    version: adapterVersion("v1"),
  };
  const key = adapterKey(adapter);
  return {
    engine: engineId(engine),
    key,
    adapter,
    purpose: "waiting",
    urgency,
  };
}

function offer(
  ledger: LoadPermitIssuer,
  at: number,
  wishes: readonly LoadWish[],
): void {
  ledger.setWishes(instant(at), engineId("engine-1"), wishes);
}

test("the most urgent wish is granted first, within the limit", (t) => {
  const ledger = new LoadPermitIssuer(LIMITS);
  offer(ledger, 0, [wish("calm", 1), wish("urgent", 9), wish("middle", 5)]);
  t.is(ledger.grant(instant(0))?.adapter.adapter, adapterId("urgent"));
  t.is(ledger.grant(instant(0))?.adapter.adapter, adapterId("middle"));
  t.is(ledger.grant(instant(1_000)), undefined);
});

test("the rate limit holds even if loads end immediately", (t) => {
  const ledger = new LoadPermitIssuer(LIMITS);
  let granted = 0;
  for (let at = 0; at < 10_000; at += 10) {
    offer(ledger, at, [wish(`adapter-${at}`, 1)]);
    const permit = ledger.grant(instant(at));
    if (permit === undefined) continue;
    granted += 1;
    ledger.release(instant(at), { ...permit, loaded: true });
  }
  t.true(granted <= 51, `${granted} loads in 10 s`);
  t.true(granted >= 49, `${granted} loads in 10 s`);
});

test("a permit that is not renewed expires", (t) => {
  const ledger = new LoadPermitIssuer({ ...LIMITS, concurrentLoads: 1 });
  offer(ledger, 0, [wish("lost", 1)]);
  t.truthy(ledger.grant(instant(0)));
  const before = PERMIT_LIFETIME - 1;
  offer(ledger, before, [wish("next", 1)]);
  t.is(ledger.grant(instant(before)), undefined);
  t.truthy(ledger.grant(instant(PERMIT_LIFETIME)));
});

test("a renewed permit does not expire", (t) => {
  const ledger = new LoadPermitIssuer({ ...LIMITS, concurrentLoads: 1 });
  offer(ledger, 0, [wish("slow", 1)]);
  ledger.grant(instant(0));
  ledger.renew(instant(5_000), wish("slow", 1));
  offer(ledger, PERMIT_LIFETIME, [wish("next", 1)]);
  t.is(ledger.grant(instant(PERMIT_LIFETIME)), undefined);
});

test("a new holder waits, and counts loads of the previous holder", (t) => {
  const ledger = new LoadPermitIssuer(LIMITS, instant(seconds(1)));
  ledger.renew(instant(0), wish("running", 1));
  ledger.renew(instant(0), wish("running too", 1));
  offer(ledger, 999, [wish("new", 1)]);
  t.is(ledger.grant(instant(999)), undefined);
  t.is(ledger.grant(instant(1_000)), undefined);
  ledger.release(instant(1_000), { ...wish("running", 1), loaded: true });
  t.truthy(ledger.grant(instant(1_000)));
});

test("the static shares of all engines stay below the rate limit", (t) => {
  const share = staticShare(LIMITS, 8);
  t.true(share.loadsPerSecond * 8 < LIMITS.loadsPerSecond);
});
