import { ClassQueue, instant, type QueuedWork } from "@foxtailwind/core";
import test from "ava";

interface Work extends QueuedWork {
  readonly name: string;
}

function work(tenant: string, name: string, deadline = 1_000): Work {
  return {
    tenant,
    name,
    work: 9,
    deadline: instant(deadline),
    isWaiting: true,
  };
}

function take(queue: ClassQueue<Work>): string | undefined {
  const name = queue.peek(instant(0))?.name;
  queue.shift(instant(0));
  return name;
}

// Guards against a tenant that always has one request and gets every other
// turn, although several tenants wait.
test("a tenant whose queue runs empty doesn't begin ahead of its share", (t) => {
  const queue = new ClassQueue<Work>();
  for (const tenant of ["a", "b", "c"]) {
    for (let index = 0; index < 9; index += 1) {
      queue.add(work(tenant, tenant));
    }
  }
  const order: (string | undefined)[] = [];
  let isWaiting = false;
  for (let index = 0; index < 12; index += 1) {
    if (!isWaiting && order.at(-1) !== "one") {
      queue.add(work("one", "one"));
      isWaiting = true;
    }
    const name = take(queue);
    if (name === "one") isWaiting = false;
    order.push(name);
  }
  t.true(order.filter((name) => name === "one").length <= 4, order.join(" "));
});

test("with a slack, the earliest deadline of tenants within their share goes first", (t) => {
  const queue = new ClassQueue<Work>(10);
  queue.add(work("a", "a1", 900));
  queue.add(work("a", "a2", 950));
  queue.add(work("b", "b1", 300));
  queue.add(work("b", "b2", 310));
  queue.add(work("b", "b3", 320));
  const order = Array.from({ length: 5 }, () => take(queue));
  t.deepEqual(order, ["b1", "b2", "a1", "b3", "a2"]);
});

test("without a slack, tenants take turns", (t) => {
  const queue = new ClassQueue<Work>();
  queue.add(work("a", "a1", 900));
  queue.add(work("b", "b1", 300));
  queue.add(work("a", "a2", 950));
  queue.add(work("b", "b2", 310));
  t.deepEqual(
    Array.from({ length: 4 }, () => take(queue)),
    ["a1", "b1", "a2", "b2"],
  );
});
