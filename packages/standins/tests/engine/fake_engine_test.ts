import {
  adapterVersion,
  attemptNumber,
  engineId,
  requestId,
} from "@foxtailwind/core";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createAdapterReference,
  createGenerateCall,
} from "../../../edges/tests/helpers/calls.ts";
import { CollectingSink } from "../../../edges/tests/helpers/collecting_sink.ts";
import { startEngine } from "../helpers/start_stand_ins.ts";

const FIRST_FIVE_TOKENS = "a@1#0 a@1#1 a@1#2 a@1#3 a@1#4 ";
const LONG_GENERATION = { maximumTokens: 100_000 } as const;
const CRASHING_TEXT = "A text that ends engines.";
const CRASHING_CALL = {
  ...LONG_GENERATION,
  messages: [{ role: "user", content: CRASHING_TEXT }],
} as const;
/** How long an engine may take to end after it began a crashing prompt. */
const CRASH_ALLOWANCE_MILLISECONDS = 200;

test("each token contains adapter, version and position", async (t) => {
  const { engine, client } = await startEngine(t);
  const sink = new CollectingSink();
  client.generate(createGenerateCall("r"), sink);
  const end = (await sink.ended)._unsafeUnwrap();
  t.is(sink.text, FIRST_FIVE_TOKENS);
  t.like(end, { finishReason: "length", completionTokens: 5 });
  t.is(engine.readCounters().generationsFinished, 1);
});

test("concurrent generations are batched", async (t) => {
  const { engine, client } = await startEngine(t, { tokensPerFrame: 4 });
  const sinks = Array.from({ length: 100 }, () => new CollectingSink());
  sinks.forEach((sink, index) => {
    client.generate(createGenerateCall(`r${index}`), sink);
  });
  await Promise.all(sinks.map(({ ended }) => ended));
  t.true(sinks.every(({ text }) => text === FIRST_FIVE_TOKENS));
  const { steps, sequenceSteps } = engine.readCounters();
  t.is(sequenceSteps, 500);
  t.true(steps < sequenceSteps);
});

test("a generation on an adapter that is not loaded is refused as not run", async (t) => {
  const { client } = await startEngine(t);
  const sink = new CollectingSink();
  client.generate(
    createGenerateCall("r", { adapter: createAdapterReference("b") }),
    sink,
  );
  const failure = (await sink.ended)._unsafeUnwrapErr();
  t.like(failure, { reason: "not_found", outcome: "not_run" });
});

test("a dropped stream resumes at the next sequence", async (t) => {
  const { engine, client } = await startEngine(t);
  engine.setFaults({ dropNextStreams: 1, dropStreamAfterTokens: 2 });
  const first = new CollectingSink();
  client.generate(createGenerateCall("r"), first);
  t.is((await first.ended)._unsafeUnwrapErr().outcome, "unknown");
  const fromSequence = first.frames.length;
  const second = new CollectingSink();
  const attempt = attemptNumber(2);
  client.generate(createGenerateCall("r", { fromSequence, attempt }), second);
  t.true((await second.ended).isOk());
  t.is(first.text + second.text, FIRST_FIVE_TOKENS);
  t.true(second.frames.every((frame) => frame.attempt === attempt));
  t.is(engine.readCounters().repeatedRequests, 0);
});

test("a request that starts twice is counted as repeated", async (t) => {
  const { engine, client } = await startEngine(t);
  for (const number of [1, 2]) {
    const sink = new CollectingSink();
    client.generate(
      createGenerateCall("r", { attempt: attemptNumber(number) }),
      sink,
    );
    await sink.ended;
  }
  t.is(engine.readCounters().repeatedRequests, 1);
  t.is(engine.startsByRequest.get(requestId("r")), 2);
});

test("a cancel ends the stream, or refuses an attempt that arrives later", async (t) => {
  const { client } = await startEngine(t);
  const running = new CollectingSink();
  const handle = client.generate(
    createGenerateCall("r", LONG_GENERATION),
    running,
  );
  await running.waitForFrames(2);
  handle.cancel();
  t.is((await running.ended)._unsafeUnwrap().finishReason, "cancelled");
  const early = await client.cancel(requestId("s"), attemptNumber(1));
  t.true(early._unsafeUnwrap());
  const late = new CollectingSink();
  client.generate(createGenerateCall("s"), late);
  const failure = (await late.ended)._unsafeUnwrapErr();
  t.like(failure, { reason: "cancelled", outcome: "not_run" });
});

test("a higher priority preempts a generation, which continues afterwards", async (t) => {
  const { engine, client } = await startEngine(t, { batchCapacity: 1 });
  const low = new CollectingSink();
  const high = new CollectingSink();
  const handle = client.generate(
    createGenerateCall("low", LONG_GENERATION),
    low,
  );
  await low.waitForFrames(1);
  client.generate(createGenerateCall("high", { priority: 1 }), high);
  t.true((await high.ended).isOk());
  t.is(low.endCount, 0);
  t.is(engine.readCounters().preemptions, 1);
  await low.waitForFrames(low.frames.length + 2);
  handle.cancel();
  await low.ended;
  const sequences = low.frames.map(({ sequence }) => sequence);
  t.deepEqual(sequences, sequences.map((_, index) => index));
});

test("a prompt prefix is computed once and its cache event is published", async (t) => {
  const { client } = await startEngine(t, {
    cacheEventLagMilliseconds: 0,
    cacheEventGapProbability: 0,
  });
  const ends = [];
  for (const request of ["r", "s"]) {
    const sink = new CollectingSink();
    client.generate(createGenerateCall(request), sink);
    ends.push((await sink.ended)._unsafeUnwrap());
  }
  t.is(ends[0]?.cachedPromptTokens, 0);
  t.is(ends[1]?.cachedPromptTokens, ends[1]?.promptTokens);
  const events = (await client.readCacheEvents(0))._unsafeUnwrap();
  t.deepEqual(events.map(({ kind, sequence }) => ({ kind, sequence })), [
    { kind: "stored", sequence: 1 },
  ]);
});

test("another engine continues from an exported KV cache", async (t) => {
  const source = await startEngine(t, { stepBaseMilliseconds: 20 });
  const target = await startEngine(t);
  const started = new CollectingSink();
  const call = createGenerateCall("r", { maximumTokens: 1_000 });
  source.client.generate(call, started);
  await started.waitForFrames(2);
  const exported = await source.client.exportKvCache(call.request);
  await source.client.cancel(call.request, call.attempt);
  await started.ended;
  const cache = exported._unsafeUnwrap();
  t.true((await target.client.importKvCache(cache)).isOk());
  const resumed = new CollectingSink();
  const fromSequence = started.frames.length;
  target.client.generate({ ...call, fromSequence }, resumed);
  await resumed.waitForFrames(2);
  t.is(resumed.frames[0]?.sequence, fromSequence);
  t.is(target.engine.readCounters().prefilledTokens, 0);
  t.deepEqual([...target.engine.startsByRequest], []);
});

test("the frames contain the wrong adapter that ran", async (t) => {
  const { engine, client } = await startEngine(t);
  engine.setFaults({ wrongAdapterNextGenerations: 1 });
  const sink = new CollectingSink();
  client.generate(createGenerateCall("r"), sink);
  await sink.ended;
  t.is(sink.frames[0]?.adapter.version, adapterVersion("1-wrong"));
  t.true(sink.text.startsWith("a@1-wrong#0 "));
});

test("frames can be duplicated and reordered, but the end comes last", async (t) => {
  const { engine, client } = await startEngine(t);
  engine.setFaults({
    duplicateFrameProbability: 0.5,
    misorderFrameProbability: 0.5,
  });
  const sink = new CollectingSink();
  client.generate(createGenerateCall("r", { maximumTokens: 50 }), sink);
  t.true((await sink.ended).isOk());
  const sequences = sink.frames.map(({ sequence }) => sequence);
  t.is(new Set(sequences).size, 50);
  t.true(sequences.length > 50);
  t.notDeepEqual(sequences, [...sequences].sort((a, b) => a - b));
});

test("a restart closes streams and discards adapters and generations", async (t) => {
  const { engine, client } = await startEngine(t);
  const before = (await client.readState())._unsafeUnwrap();
  const sink = new CollectingSink();
  client.generate(createGenerateCall("r", LONG_GENERATION), sink);
  await sink.waitForFrames(1);
  engine.restart();
  t.is((await sink.ended)._unsafeUnwrapErr().outcome, "unknown");
  const after = (await client.readState())._unsafeUnwrap();
  t.not(after.bootId, before.bootId);
  t.deepEqual([before.resident.length, after.resident.length], [1, 0]);
  t.deepEqual(after.running, []);
});

// Guards against an engine that ends for a request of an earlier start, and so
// throws suspicion on the requests that run then.
test("a prompt that crashes the engine ends only the start that runs it", async (t) => {
  const { engine, client } = await startEngine(t);
  engine.setFaults({ crashOnText: CRASHING_TEXT });
  const sinks = Array.from({ length: 4 }, () => new CollectingSink());
  for (const [index, sink] of sinks.entries()) {
    client.generate(createGenerateCall(`r${index}`, CRASHING_CALL), sink);
  }
  const ends = await Promise.all(sinks.map(({ ended }) => ended));
  t.true(ends.every((end) => end.isErr()));
  await sleep(CRASH_ALLOWANCE_MILLISECONDS);
  t.is(engine.readCounters().restarts, 1);
});

test("a refused prompt crashes no engine", async (t) => {
  const { engine, client } = await startEngine(t);
  engine.setFaults({ crashOnText: CRASHING_TEXT });
  const adapter = createAdapterReference("b");
  const sink = new CollectingSink();
  client.generate(createGenerateCall("r", { ...CRASHING_CALL, adapter }), sink);
  t.is((await sink.ended)._unsafeUnwrapErr().outcome, "not_run");
  await sleep(CRASH_ALLOWANCE_MILLISECONDS);
  t.is(engine.readCounters().restarts, 0);
});

test("a hanging engine continues after the outage", async (t) => {
  const { engine, client } = await startEngine(t);
  engine.setFaults({ outage: "hang" });
  const sink = new CollectingSink();
  client.generate(createGenerateCall("r"), sink);
  const read = client.readLoad();
  engine.setFaults({ outage: "none" });
  t.true((await sink.ended).isOk());
  t.is((await read)._unsafeUnwrap().engine, engineId("engine-1"));
});
