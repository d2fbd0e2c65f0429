/**
 * One engine of 10 places and runs of 0.4 s serves 25 requests a second. The
 * classes are as on the users' sheets: live ones with 0.5 s to their first
 * event, and batch ones that may wait for 2 s.
 */
import {
  admissionShares,
  type AdmissionWay,
  ArrivalWay,
  DeadlineWay,
  emulateAdmission,
  type EmulatedClass,
  FairWay,
  ReservedWay,
} from "@foxtailwind/bench";
import test from "ava";

const SEEDS = [1, 2, 3, 4, 5, 6];
const LIVE: EmulatedClass = {
  name: "live",
  priority: 0,
  accounts: 16,
  rate: 18,
  target: 500,
  longestWait: 1_000,
  hotFactor: 1,
};
const BATCH: EmulatedClass = {
  ...LIVE,
  name: "batch",
  priority: 2,
  rate: 4.5,
  target: 2_000,
  longestWait: 2_400,
};

type Way = new () => AdmissionWay;

/** Plays a load with all seeds and sums what became of its requests. */
function play(classes: readonly EmulatedClass[], Way: Way) {
  const reports = SEEDS.map((seed) =>
    emulateAdmission(classes, new Way(), seed)
  );
  const counts = (name: string, accounts?: (index: number) => boolean) =>
    reports.flatMap((report) =>
      (report.get(name) ?? []).filter((_, index) => accounts?.(index) ?? true)
    );
  const names = classes.map(({ name }) => name);
  return {
    all: admissionShares(names.flatMap((name) => counts(name))),
    live: admissionShares(counts("live")),
    others: admissionShares(counts("live", (index) => index !== 0)),
    hot: admissionShares(counts("live", (index) => index === 0)),
    batch: admissionShares(counts("batch")),
  };
}

test("one account at six times its usual while places are short: the others' share in time falls by 0.01 at most", (t) => {
  const hot = { ...LIVE, hotFactor: 6 };
  const without = play([LIVE, BATCH], FairWay);
  const withHot = play([hot, BATCH], FairWay);
  const byArrival = play([hot, BATCH], ArrivalWay);
  t.log({ without, withHot, byArrival });
  t.true(withHot.others.inTime >= without.others.inTime - 0.01);
  t.true(byArrival.others.inTime < without.others.inTime - 0.1);
  t.true(withHot.hot.begun >= withHot.all.begun / 4);
});

test("live and batch requests compete for too little room: live ones go first, and batch is not starved", (t) => {
  const load = [{ ...LIVE, rate: 30 }, { ...BATCH, rate: 8 }];
  const shares = play(load, FairWay);
  const byArrival = play(load, ArrivalWay);
  t.log({ shares, byArrival });
  t.true(shares.live.inTime > byArrival.live.inTime);
  t.true(shares.live.begun > shares.batch.begun);
  t.true(shares.batch.begun >= shares.all.begun / 4);
});

test("requests of one class and account go by earliest deadline", (t) => {
  const load = [{ ...LIVE, rate: 24, accounts: 1 }];
  t.deepEqual(play(load, FairWay).all, play(load, DeadlineWay).all);
});

test("the ways of giving out places, compared", (t) => {
  const loads = {
    usual: [LIVE, BATCH],
    hot: [{ ...LIVE, hotFactor: 6 }, BATCH],
    short: [{ ...LIVE, rate: 30 }, { ...BATCH, rate: 8 }],
  };
  const ways = { ArrivalWay, DeadlineWay, ReservedWay, FairWay };
  const round = (share: number) => share.toFixed(3);
  const rows = Object.entries(loads).flatMap(([load, classes]) =>
    Object.entries(ways).map(([way, Way]) => {
      const { others, hot, batch } = play(classes, Way);
      return {
        load,
        way,
        others: round(others.inTime),
        hot: round(hot.inTime),
        batch: round(batch.inTime),
        batchBegun: round(batch.begun),
      };
    })
  );
  t.log(rows.map((row) => Object.values(row).join(" ")).join("\n"));
  t.snapshot(rows);
});
