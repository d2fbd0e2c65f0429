import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { AddressBook, type NodeEndpoint } from "../load/address_book.ts";
import {
  type CompletionOutcome,
  requestCompletion,
} from "../load/completion_call.ts";
import { ZipfSampler } from "../load/zipf.ts";
import { DEMO_CLASSES, type DemoClass } from "./demo_configuration.ts";

/** The load to generate. */
export interface DemoLoadOptions {
  /** The nodes that a caller knows initially and asks for addresses. */
  readonly nodes: readonly NodeEndpoint[];
  readonly adapterCount: number;
  readonly zipfExponent: number;
  readonly requestsPerSecond: number;
  readonly durationMilliseconds: number;
  readonly seed: number;
  /** Called after each response. */
  readonly onProgress: (sent: number, ended: number) => void;
}

const MILLISECONDS_PER_SECOND = 1_000;
const PROMPT = "Draft a short note about the stain on the wool carpet.";

/**
 * Sends an open-loop load: Poisson arrivals, independent of response times,
 * over adapters drawn from a Zipf distribution.
 * @param options The load to generate.
 * @returns The outcome of each request.
 */
export async function sendDemoLoad(
  options: DemoLoadOptions,
): Promise<readonly CompletionOutcome[]> {
  const random = xoroshiro128plus(options.seed);
  const zipf = new ZipfSampler(options.adapterCount, options.zipfExponent);
  const agent = new Agent({ connections: null });
  const outcomes: CompletionOutcome[] = [];
  const calls: Promise<void>[] = [];
  const addressBook = new AddressBook(options.nodes);
  const endAt = performance.now() + options.durationMilliseconds;
  let nextSendAt = performance.now();
  while (nextSendAt < endAt) {
    await sleep(Math.max(0, nextSendAt - performance.now()));
    await addressBook.refresh(performance.now());
    const requestClass = chooseClass(uniformFloat64(random));
    const call = requestCompletion(agent, {
      baseUrl: `http://${addressBook.next().http}`,
      className: requestClass.name,
      tenant: `tenant-${calls.length % 5}`,
      adapter: `adapter-${zipf.next(random)}@v1`,
      prompt: PROMPT,
      maximumTokens: requestClass.maximumTokens,
    });
    calls.push(call.then((outcome) => {
      outcomes.push(outcome);
      options.onProgress(calls.length, outcomes.length);
    }));
    const exponentialDraw = -Math.log(1 - uniformFloat64(random));
    nextSendAt += exponentialDraw * MILLISECONDS_PER_SECOND /
      options.requestsPerSecond;
  }
  await Promise.all(calls);
  await agent.close();
  return outcomes;
}

function chooseClass(uniformDraw: number): DemoClass {
  let remaining = uniformDraw;
  for (const demoClass of DEMO_CLASSES) {
    remaining -= demoClass.loadShare;
    if (remaining < 0) return demoClass;
  }
  return DEMO_CLASSES[0] as DemoClass;
}
