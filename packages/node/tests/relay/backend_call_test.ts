import {
  AnswerHandler,
  BackendCall,
  type DataDecision,
  type HeadDecision,
} from "@foxtailwind/node/relay";
import test from "ava";
import type { Dispatcher } from "undici";

class CutHandler extends AnswerHandler {
  override onHead(): HeadDecision {
    return "take";
  }

  override onData(): DataDecision {
    return "cut";
  }
}

/** A call whose handler takes the head and cuts the body. */
function startCall() {
  const aborts: string[] = [];
  const controller = {
    abort: (reason: Error) => {
      aborts.push(reason.message);
    },
  } as unknown as Dispatcher.DispatchController;
  const call = new BackendCall(new CutHandler());
  const dispatcher = { dispatch: () => true } as unknown as Dispatcher;
  call.send(dispatcher, {
    method: "GET",
    path: "/",
    headers: [],
    body: undefined,
    findObstacle: () => undefined,
  });
  call.onRequestStart(controller);
  call.onResponseStart(controller, 500, {});
  return { aborts, call, controller };
}

// Guards against a failed assertion in the HTTP client, whose message takes a
// node many seconds to compose.
test("a call is not aborted while the parser reports bytes of its body", async (t) => {
  const { aborts, call, controller } = startCall();
  call.onResponseData(controller, Buffer.from("x"));
  t.deepEqual(aborts, []);
  await Promise.resolve();
  t.deepEqual(aborts, ["The answer has no end."]);
  call.onResponseError(controller, new Error("The answer has no end."));
  t.like(await call.ended, { kind: "broken", isConnectionLost: false });
});

test("a body that ends while it is cut is not complete", async (t) => {
  const { call, controller } = startCall();
  call.onResponseData(controller, Buffer.from("x"));
  call.onResponseEnd();
  t.like(await call.ended, { kind: "broken", isConnectionLost: false });
});
