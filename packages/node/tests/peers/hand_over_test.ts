import {
  adapterId,
  adapterVersion,
  attemptNumber,
  classId,
  engineId,
  type Failure,
  instant,
  milliseconds,
  modelId,
  requestId,
  tenantId,
} from "@foxtailwind/core";
import {
  type GenerationEnd,
  type GenerationFrame,
  type GenerationHandle,
  GenerationSink,
  type Vm,
} from "@foxtailwind/edges";
import {
  createGenerationService,
  type GenerationRequest,
  HandOverOutbox,
  PeerChannels,
  PeerClients,
  PeerServer,
  ProcessClock,
  WorkInProgress,
} from "@foxtailwind/node";
import type { ToEntry } from "@foxtailwind/protocol";
import test, { type ExecutionContext } from "ava";
import { ok, type Result } from "neverthrow";
import { until } from "../helpers/test_cluster.ts";

const REQUEST = requestId("request-1");
const ADAPTER = { adapter: adapterId("a"), version: adapterVersion("v1") };

const GENERATION: GenerationRequest = {
  request: REQUEST,
  model: modelId("base"),
  adapter: ADAPTER,
  class: classId("drafting"),
  tenant: tenantId("tenant"),
  firstTokenTarget: milliseconds(1_000),
  messages: [],
  maximumTokens: 4,
  attempt: attemptNumber(2),
  fromSequence: 6,
  arrivedAt: instant(0),
};

class CollectingSink extends GenerationSink {
  readonly frames: GenerationFrame[] = [];
  end: Result<GenerationEnd, Failure> | undefined;

  override onFrame(frame: GenerationFrame): void {
    this.frames.push(frame);
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    this.end = result;
  }
}

/** Records calls and gives the test access to the sink. */
class RecordingController {
  readonly accepted: GenerationRequest[] = [];
  readonly calls: string[] = [];
  sink: GenerationSink | undefined;

  runHere(
    _engine: unknown,
    generation: GenerationRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    this.accepted.push(generation);
    this.sink = sink;
    const note = (call: string) => () => void this.calls.push(call);
    return {
      pause: note("pause"),
      unpause: note("unpause"),
      cancel: note("cancel"),
    };
  }
}

async function start(t: ExecutionContext) {
  const controller = new RecordingController();
  const clock = new ProcessClock();
  const work = new WorkInProgress();
  const server = new PeerServer([
    createGenerationService({ router: controller, clock, work }),
  ]);
  const port = await server.listen({ host: "127.0.0.1", port: 0 });
  const channels = new PeerChannels();
  const clients = new PeerClients(channels);
  t.teardown(() => {
    clients.close();
    channels.close();
    return server.close();
  });
  const peer = vmAt(`127.0.0.1:${port}`);
  const sink = new CollectingSink();
  const handle = clients.generate(peer, handOverRequest(), sink);
  return { controller, clients, server, sink, handle, work };
}

function vmAt(peerAddress: string): Vm {
  return { id: "node-2", address: peerAddress, peerAddress } as Vm;
}

function handOverRequest() {
  const engine = engineId("engine-1");
  return { engine, generation: GENERATION, now: instant(0) };
}

function frameOf(sequence: number, request = REQUEST): GenerationFrame {
  const attempt = attemptNumber(2);
  return { request, attempt, sequence, tokens: ["x"], adapter: ADAPTER };
}

test("a hand-over preserves attempt, sequence and a foreign request id", async (t) => {
  const { controller, sink } = await start(t);
  await until(() => controller.accepted.length > 0);
  t.like(controller.accepted[0], { attempt: 2, fromSequence: 6 });
  controller.sink?.onFrame(frameOf(6));
  controller.sink?.onFrame(frameOf(7));
  controller.sink?.onFrame(frameOf(7, requestId("request-2")));
  await until(() => sink.frames.length > 1);
  t.deepEqual(sink.frames, [
    { ...frameOf(6), tokens: ["x", "x"] },
    frameOf(7, requestId("request-2")),
  ]);
});

test("pause, unpause and cancel are forwarded to the controller", async (t) => {
  const { controller, handle } = await start(t);
  await until(() => controller.accepted.length > 0);
  handle.pause();
  handle.unpause();
  handle.cancel();
  await until(() => controller.calls.includes("cancel"));
  t.deepEqual(controller.calls, ["pause", "unpause", "cancel"]);
});

test("a link lost in mid-stream gives an unknown outcome", async (t) => {
  const { controller, clients, sink } = await start(t);
  await until(() => controller.accepted.length > 0);
  clients.close();
  t.like(sink.end?._unsafeUnwrapErr(), {
    reason: "unavailable",
    outcome: "unknown",
  });
});

test("a request to an unreachable peer is not run", async (t) => {
  const channels = new PeerChannels();
  const clients = new PeerClients(channels);
  t.teardown(() => {
    channels.close();
  });
  const sink = new CollectingSink();
  clients.generate(vmAt("127.0.0.1:1"), handOverRequest(), sink);
  await until(() => sink.end !== undefined);
  t.like(sink.end?._unsafeUnwrapErr(), {
    reason: "unavailable",
    outcome: "not_run",
  });
});

test("a stopping controller finishes its requests in progress", async (t) => {
  const { controller, server, sink, work } = await start(t);
  await until(() => controller.accepted.length > 0);
  const closed = server.close();
  t.is(work.count, 1);
  controller.sink?.onFrame(frameOf(6));
  controller.sink?.onEnd(ok(END));
  await until(() => sink.end !== undefined);
  await closed;
  t.is(sink.end?._unsafeUnwrap().completionTokens, 7);
  t.is(work.count, 0);
});

test("a blocked outbox holds frames until it is drained", (t) => {
  const written: ToEntry[] = [];
  const blocked: boolean[] = [];
  let canWriteMore = false;
  const outbox = new HandOverOutbox({
    write: (batch) => {
      written.push(batch);
      return canWriteMore;
    },
  }, (isBlocked) => blocked.push(isBlocked));
  const known = { request: REQUEST, adapter: ADAPTER };
  outbox.pushFrame(1, frameOf(0), known);
  outbox.flush();
  outbox.pushFrame(1, frameOf(1), known);
  outbox.pushFrame(1, frameOf(2), known);
  t.is(written.length, 1);
  canWriteMore = true;
  outbox.drained();
  t.deepEqual(blocked, [true, false]);
  t.is(written.length, 2);
  t.is(written[1]?.answers.length, 1);
});

const END: GenerationEnd = {
  request: REQUEST,
  attempt: attemptNumber(2),
  finishReason: "stop",
  promptTokens: 1,
  completionTokens: 7,
  cachedPromptTokens: 0,
};
