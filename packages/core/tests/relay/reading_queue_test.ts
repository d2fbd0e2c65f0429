/**
 * The load: prompts come at random and fill half of the time in which an
 * engine can read, as on the users' busiest days, while streams run there whose
 * events are late after 300 ms.
 */
import { instant, milliseconds, ReadingQueue } from "@foxtailwind/core";
import test from "ava";
import {
  drawPrompts,
  openGate,
  type PromptGate,
  runEngine,
} from "./helpers/reading_engine.ts";

const LONGEST_PAUSE = 300;
const TARGET = 800;
const TOKEN_TIME = 1 / 19.2;

function queueGate(speed = 1): PromptGate {
  const queue = new ReadingQueue<number>();
  return {
    add: (index, { at, tokens }) => {
      queue.add(index, {
        reading: milliseconds(speed * tokens * TOKEN_TIME),
        wantedBy: instant(at + TARGET),
      });
    },
    take: (now) => {
      const taken: number[] = [];
      for (;;) {
        const index = queue.next(instant(now));
        if (index === undefined) return taken;
        taken.push(index);
      }
    },
  };
}

function share(values: readonly number[], limit: number): number {
  return values.filter((value) => value > limit).length / values.length;
}

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

test("bursts of prompts leave streams their pace, and few first events are late", (t) => {
  const [open, spaced] = [openGate, queueGate].map((gate) => {
    const runs = SEEDS.map((seed) => runEngine(drawPrompts(0.5, seed), gate()));
    return {
      paused: share(runs.flatMap(({ pauses }) => pauses), LONGEST_PAUSE),
      late: share(runs.flatMap(({ waits }) => waits), TARGET),
    };
  });
  if (open === undefined || spaced === undefined) return t.fail();
  t.log({ open, spaced });
  t.true(spaced.paused < open.paused / 5);
  t.true(spaced.late < 0.01);
});

test("the prompt with the least time to spare goes first, and late ones last in their order", (t) => {
  const queue = new ReadingQueue<string>();
  const reading = milliseconds(50);
  const add = (name: string, wantedBy: number) => {
    queue.add(name, { reading, wantedBy: instant(wantedBy) });
  };
  add("late", 0);
  add("later", 20);
  add("patient", 900);
  add("urgent", 200);
  const order: (string | undefined)[] = [];
  for (let now = 0; order.length < 4; now += 100) {
    order.push(queue.next(instant(now)));
  }
  t.deepEqual(order, ["urgent", "patient", "late", "later"]);
});

test("an idle engine reads at once, and the next prompt waits for the one before", (t) => {
  const queue = new ReadingQueue<string>();
  const terms = { reading: milliseconds(100), wantedBy: instant(2_000) };
  queue.add("a", terms);
  queue.add("b", terms);
  t.is(queue.next(instant(1_000)), "a");
  t.is(queue.next(instant(1_000)), undefined);
  t.true(queue.wait(instant(1_000)) >= 200);
  const at = queue.nextAt ?? instant(0);
  t.true(at > 1_100 && at < 1_150, `${at}`);
  t.is(queue.next(at), "b");
  t.is(queue.nextAt, undefined);
});

test("a prompt that nobody waits for is not read", (t) => {
  const queue = new ReadingQueue<string>();
  queue.add("a", { reading: milliseconds(9), wantedBy: instant(9) });
  t.true(queue.delete("a"));
  t.is(queue.next(instant(0)), undefined);
  t.is(queue.wait(instant(0)), milliseconds(0));
});
