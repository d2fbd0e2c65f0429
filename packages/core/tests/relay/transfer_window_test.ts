/**
 * The load: popularity shifts, and six nodes' engines are asked for more
 * adapters at once than the weight store carries. It carries eight in 250 ms;
 * of more, each takes longer in proportion.
 */
import { instant, milliseconds, TransferWindow } from "@foxtailwind/core";
import test from "ava";
import { drawFrom } from "./helpers/reading_engine.ts";

const AT_ONCE = 8;
const TRANSFER_TIME = 250;
const TICK = 5;
const NODES = 6;
const TARGET = 800;

interface Transfer {
  readonly node: number;
  readonly askedAt: number;
  begunAt?: number;
  left: number;
}

/** Brings adapters; gives how long each took from its asking. */
function bringAll(
  asked: readonly Transfer[],
  windows: readonly TransferWindow[],
): readonly number[] {
  const took: number[] = [];
  const waiting = [...asked];
  let running: Transfer[] = [];
  for (let now = 0; took.length < asked.length; now += TICK) {
    for (const transfer of [...waiting]) {
      const window = windows[transfer.node];
      if (transfer.askedAt > now || window?.isOpen !== true) continue;
      window.begin();
      waiting.splice(waiting.indexOf(transfer), 1);
      transfer.begunAt = now;
      running.push(transfer);
    }
    const pace = Math.min(1, AT_ONCE / Math.max(1, running.length));
    for (const transfer of running) transfer.left -= TICK * pace;
    for (const transfer of running.filter(({ left }) => left <= 0)) {
      took.push(now - transfer.askedAt);
      windows[transfer.node]?.ended(
        instant(now),
        milliseconds(now - (transfer.begunAt ?? now)),
      );
    }
    running = running.filter(({ left }) => left > 0);
  }
  return took;
}

class OpenWindow extends TransferWindow {
  override get isOpen(): boolean {
    return true;
  }
}

function windows(make: () => TransferWindow): readonly TransferWindow[] {
  return Array.from({ length: NODES }, make);
}

/** Adapters that are asked for at random times, as often as given. */
function drawTransfers(seed: number, asksASecond: readonly number[]) {
  const draw = drawFrom(seed);
  return asksASecond.flatMap((asks, second) =>
    Array.from({ length: asks }, (): Transfer => ({
      node: Math.floor(draw() * NODES),
      askedAt: 1_000 * (second + draw()),
      left: TRANSFER_TIME,
    }))
  ).toSorted((one, other) => one.askedAt - other.askedAt);
}

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
/** Two seconds of half more than the store carries, between calm ones. */
const SHIFT = [16, 16, 48, 48, 16, 16];

function lateShare(make: () => TransferWindow): number {
  const took = SEEDS.flatMap((seed) =>
    bringAll(drawTransfers(seed, SHIFT), windows(make))
  );
  return took.filter((time) => time > TARGET).length / took.length;
}

test("where popularity shifts, fewer adapters come late than where all come at once", (t) => {
  const bounded = lateShare(() => new TransferWindow());
  const open = lateShare(() => new OpenWindow());
  t.log({ bounded, open });
  t.true(bounded < open, `${bounded} instead of ${open}`);
});

test("what the store can carry is used by one node alone as by all", (t) => {
  const steady = Array.from({ length: 10 }, () => 24);
  const alone = drawTransfers(1, steady).map((transfer) => ({
    ...transfer,
    node: 0,
  }));
  const took = bringAll(alone, windows(() => new TransferWindow()));
  const settled = took.slice(60).toSorted((one, other) => one - other);
  t.true((settled[Math.floor(settled.length / 2)] ?? Infinity) < 400);
});

test("who waits is woken once a transfer ends, the one that is wanted first before the others", (t) => {
  const window = new TransferWindow();
  const woken: string[] = [];
  const waiter = (name: string) => ({ wake: () => void woken.push(name) });
  while (window.isOpen) window.begin();
  window.wait(waiter("later"), instant(900));
  window.wait(waiter("first"), instant(300));
  window.ended(instant(250), milliseconds(250));
  t.deepEqual(woken, ["first", "later"]);
  t.true(window.isOpen);
});

test("what a further adapter takes is learned, and slowness is forgotten", (t) => {
  const window = new TransferWindow();
  t.is(window.expected(instant(0)), milliseconds(250));
  for (let now = 1; now <= 20; now += 1) {
    window.begin();
    window.ended(instant(now), milliseconds(600));
  }
  t.true(window.expected(instant(20)) > 550);
  t.true(window.expected(instant(5_000)) < 260);
});
