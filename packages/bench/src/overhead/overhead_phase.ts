import path from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";
import { ChildProgram } from "../demo/child_program.ts";
import {
  emptyResult,
  type LoadPlan,
  type LoadResult,
  loadResultSchema,
  type PathResult,
} from "./load_plan.ts";
import { processorSeconds } from "./processor_time.ts";

/** Merged results of all load generators, and the node's processor use. */
export interface PhaseResult extends LoadResult {
  /** Mean number of cores that the node used in the measured period. */
  readonly nodeCores: number;
  readonly seconds: number;
}

/** Options of a phase besides its load. */
export interface PhaseOptions {
  readonly generators: number;
  readonly nodeProcessId: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Runs one phase of the measurement.
 * @param plan The total load, which is divided among the generators.
 * @param options The number of generators and the node's process ID.
 * @returns The merged results.
 */
export async function runPhase(
  plan: LoadPlan,
  options: PhaseOptions,
): Promise<PhaseResult> {
  const programs = Array.from(
    { length: options.generators },
    (_, index) => startGenerator(plan, { index, count: options.generators }),
  );
  await sleep(plan.warmMilliseconds);
  const before = processorSeconds(options.nodeProcessId);
  const startedAt = performance.now();
  await sleep(plan.measureMilliseconds);
  const used = processorSeconds(options.nodeProcessId) - before;
  const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  const results = await Promise.all(programs.map(async (program) => {
    const result = loadResultSchema.parse(await program.nextLine());
    await program.waitForExit();
    return result;
  }));
  const merged = results.reduce(merge, emptyResult());
  return {
    ...merged,
    nodeCores: used / seconds,
    seconds: plan.measureMilliseconds / MILLISECONDS_PER_SECOND,
  };
}

function startGenerator(
  plan: LoadPlan,
  { index, count }: { readonly index: number; readonly count: number },
): ChildProgram {
  const folder = path.dirname(fileURLToPath(import.meta.url));
  const generatorPlan = { ...plan, pacing: perGenerator(plan.pacing, count) };
  return new ChildProgram(
    `load-${index + 1}`,
    path.join(folder, "load_program.js"),
    [JSON.stringify({ ...generatorPlan, seed: plan.seed + index })],
  );
}

function perGenerator(pacing: LoadPlan["pacing"], count: number) {
  switch (pacing.kind) {
    case "concurrent":
      return { ...pacing, requests: Math.ceil(pacing.requests / count) };
    case "paced":
      return { ...pacing, perSecond: pacing.perSecond / count };
  }
}

function merge(left: LoadResult, right: LoadResult): LoadResult {
  return {
    node: mergePaths(left.node, right.node),
    engine: mergePaths(left.engine, right.engine),
  };
}

function mergePaths(left: PathResult, right: PathResult): PathResult {
  return {
    whole: left.whole + right.whole,
    failed: left.failed + right.failed,
    pieces: left.pieces + right.pieces,
    firstTokenMilliseconds: [
      ...left.firstTokenMilliseconds,
      ...right.firstTokenMilliseconds,
    ],
    wholeMilliseconds: [...left.wholeMilliseconds, ...right.wholeMilliseconds],
  };
}
