/**
 * Load generator of the overhead measurement, run in a separate process: takes
 * its plan as a JSON argument and prints its result as one line of JSON.
 * @module
 */
import { randomUUID } from "node:crypto";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Agent } from "undici";
import {
  emptyResult,
  type LoadPlan,
  loadPlanSchema,
  type PathResult,
} from "./load_plan.ts";
import { callStream, type StreamCall } from "./stream_call.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const PROMPT = "Draft a short note about the red wine on the wool carpet.";
const MESSAGES = [{ role: "user", content: PROMPT }];
const JSON_HEADERS = { "content-type": "application/json" };

const plan = loadPlanSchema.parse(JSON.parse(process.argv[2] ?? ""));
const random = xoroshiro128plus(plan.seed);
const agent = new Agent({ connections: null, pipelining: 1 });
const result = emptyResult();
const start = performance.now();
const measureFrom = start + plan.warmMilliseconds;
const measureUntil = measureFrom + plan.measureMilliseconds;
let selectionCount = 0;

switch (plan.pacing.kind) {
  case "concurrent":
    await Promise.all(
      Array.from({ length: plan.pacing.requests }, sendSequentially),
    );
    break;
  case "paced":
    await sendPaced(plan.pacing.perSecond);
    break;
}
await agent.close();
process.stdout.write(`${JSON.stringify(result)}\n`);

async function sendSequentially(): Promise<void> {
  await sleep(uniformFloat64(random) * plan.warmMilliseconds);
  while (performance.now() < measureUntil) await sendOne();
}

async function sendPaced(perSecond: number): Promise<void> {
  const calls: Promise<void>[] = [];
  let next = performance.now();
  while (next < measureUntil) {
    const wait = next - performance.now();
    if (wait > 0) await sleep(wait);
    calls.push(sendOne());
    const gap = -Math.log(1 - uniformFloat64(random));
    next += gap * MILLISECONDS_PER_SECOND / perSecond;
  }
  await Promise.all(calls);
}

async function sendOne(): Promise<void> {
  const isDirect = uniformFloat64(random) < plan.directShare;
  const sentAt = performance.now();
  const outcome = await callStream(agent, isDirect ? directCall() : nodeCall());
  const endedAt = performance.now();
  const isMeasured = plan.pacing.kind === "concurrent"
    ? endedAt >= measureFrom && endedAt <= measureUntil
    : sentAt >= measureFrom && sentAt <= measureUntil;
  if (!isMeasured) return;
  const path: PathResult = isDirect ? result.engine : result.node;
  if (!outcome.whole) {
    path.failed += 1;
    return;
  }
  path.whole += 1;
  path.pieces += outcome.pieces;
  path.firstTokenMilliseconds.push(outcome.firstTokenMilliseconds);
  path.wholeMilliseconds.push(outcome.wholeMilliseconds);
}

function nodeCall(): StreamCall {
  return {
    origin: plan.node,
    path: "/v1/chat/completions",
    headers: { ...JSON_HEADERS, "x-foxtailwind-class": plan.className },
    body: JSON.stringify({
      model: nextInRotation(plan.adapters),
      messages: MESSAGES,
      max_tokens: plan.tokens,
      stream: true,
    }),
    expectedTokens: plan.tokens,
    endText: "[DONE]",
  };
}

function directCall(): StreamCall {
  const [adapter, version] = nextInRotation(plan.adapters).split("@");
  return {
    origin: nextInRotation(plan.engines),
    path: "/v1/generate",
    headers: JSON_HEADERS,
    body: JSON.stringify({
      request: randomUUID(),
      attempt: 1,
      model: "base",
      adapter: { adapter, version },
      messages: MESSAGES,
      maximumTokens: plan.tokens,
      priority: 0,
      fromSequence: 0,
    }),
    expectedTokens: plan.tokens,
    endText: '"finishReason"',
  };
}

function nextInRotation(values: LoadPlan["adapters"]): string {
  selectionCount += 1;
  return values[selectionCount % values.length] ?? "";
}
