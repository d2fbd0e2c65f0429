import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { AddressBook, type NamedNode } from "../load/address_book.ts";
import {
  callCompletion,
  type CompletionOutcome,
} from "../load/completion_call.ts";
import { ZipfSampler } from "../load/zipf.ts";
import { DEMO_CLASSES, type DemoClass } from "./demo_configuration.ts";

/** A load to send. */
export interface DemoLoad {
  /** The nodes that a caller knows, and asks for addresses. */
  readonly nodes: readonly NamedNode[];
  readonly adapters: number;
  readonly exponent: number;
  readonly requestsPerSecond: number;
  readonly durationMilliseconds: number;
  readonly seed: number;
  /** Called after each answer. */
  readonly onProgress: (sent: number, ended: number) => void;
}

const MILLISECONDS_PER_SECOND = 1_000;
const PROMPT = "Draft a short note about the stain on the wool carpet.";

/**
 * Sends a skewed load at random times, whatever the answers take.
 * @param load The load.
 * @returns What came of each request.
 */
export async function sendDemoLoad(
  load: DemoLoad,
): Promise<readonly CompletionOutcome[]> {
  const random = xoroshiro128plus(load.seed);
  const zipf = new ZipfSampler(load.adapters, load.exponent);
  const agent = new Agent({ connections: null });
  const outcomes: CompletionOutcome[] = [];
  const calls: Promise<void>[] = [];
  const book = new AddressBook(load.nodes);
  const end = performance.now() + load.durationMilliseconds;
  let next = performance.now();
  while (next < end) {
    await sleep(Math.max(0, next - performance.now()));
    await book.refresh(performance.now());
    const chosen = chooseClass(uniformFloat64(random));
    const call = callCompletion(agent, {
      baseUrl: `http://${book.next().http}`,
      className: chosen.name,
      tenant: `tenant-${calls.length % 5}`,
      adapter: `adapter-${zipf.next(random)}@v1`,
      prompt: PROMPT,
      maximumTokens: chosen.maximumTokens,
    });
    calls.push(call.then((outcome) => {
      outcomes.push(outcome);
      load.onProgress(calls.length, outcomes.length);
    }));
    const gap = -Math.log(1 - uniformFloat64(random));
    next += gap * MILLISECONDS_PER_SECOND / load.requestsPerSecond;
  }
  await Promise.all(calls);
  await agent.close();
  return outcomes;
}

function chooseClass(drawn: number): DemoClass {
  let rest = drawn;
  for (const entry of DEMO_CLASSES) {
    rest -= entry.share;
    if (rest < 0) return entry;
  }
  return DEMO_CLASSES[0] as DemoClass;
}
