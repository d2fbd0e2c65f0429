import { ProcessClock } from "@foxtailwind/node/relay";
import test from "ava";
import { startWorld, succeed } from "./helpers/relay_world.ts";

const REJECTION_LIMIT = 4;
/** Two of its places are taken by requests of other nodes. */
const ROOM = 14;
const SERVICE_MILLISECONDS = 400;
const CALLERS = 80;
const SECOND_MILLISECONDS = 1_000;

// Guards against callers' requests that make a brittle server fail.
test("a server that says that it is brittle gets no more requests to reject than it bears", async (t) => {
  const world = await startWorld(t);
  const clock = new ProcessClock();
  const rejections: number[] = [];
  let running = 0;
  await world.addServer("s1", (request, response) => {
    request.resume();
    response.setHeader("x-brittle", String(REJECTION_LIMIT));
    if (running >= ROOM) {
      rejections.push(clock.now());
      response.statusCode = 503;
      response.setHeader("x-id", String(request.headers["x-id"]));
      response.setHeader("x-not-run", "1");
      response.end();
      return;
    }
    running += 1;
    setTimeout(() => {
      running -= 1;
      succeed(request, response, "done");
    }, SERVICE_MILLISECONDS);
  });
  t.is((await world.call("/once/first")).status, 200);
  const answers = await Promise.all(
    Array.from(
      { length: CALLERS },
      (_, index) =>
        world.call("/once/next", { headers: { "x-id": `n${index}` } }),
    ),
  );
  const served = answers.filter(({ status }) => status === 200).length;
  t.true(served >= ROOM, `${served} served`);
  t.true(answers.every(({ status }) => status === 200 || status === 503));
  for (const begin of rejections) {
    const inSecond = rejections.filter((at) =>
      at >= begin && at < begin + SECOND_MILLISECONDS
    );
    t.true(inSecond.length <= REJECTION_LIMIT, `${inSecond.length} rejections`);
  }
});
