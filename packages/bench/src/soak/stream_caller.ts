import {
  assertInvariant,
  type DeliveryAction,
  type RequestDelivery,
  type RequestId,
} from "@foxtailwind/core";

/** One run of a request at the engine: its tokens name it. */
export interface EngineRun {
  readonly tokens: readonly string[];
  lost: boolean;
}

/** A caller of a stream: what it got, and what the engine did for it. */
export interface CallerView {
  readonly request: RequestId;
  readonly repeatable: boolean;
  readonly delivery: RequestDelivery;
  readonly runs: EngineRun[];
  readonly got: string[];
  readonly ends: DeliveryAction[];
}

/**
 * Checks what a caller got against what the engine did.
 * @param caller The caller.
 */
export function checkCaller(caller: CallerView): void {
  const { request, repeatable, runs, got, ends } = caller;
  assertInvariant(
    repeatable || runs.length <= 1,
    "at_most_once",
    () => `${request} ran ${runs.length} times.`,
  );
  const source = runs.find((run) => startsWith(run.tokens, got));
  assertInvariant(
    got.length === 0 || source !== undefined,
    "own_answer_only",
    () => `${request} got ${got.join(" ")}.`,
  );
  for (const end of ends) {
    const isWhole = end.kind !== "complete" ||
      runs.some((run) => run.tokens.join() === got.join());
    assertInvariant(
      isWhole,
      "answer_is_whole",
      () => `${request} ended after ${got.length} tokens.`,
    );
    const isTrue = end.kind !== "fail" || end.failure.outcome !== "not_run" ||
      runs.length === 0;
    assertInvariant(
      isTrue,
      "not_run_means_not_run",
      () => `${request} ran, but its caller was told otherwise.`,
    );
  }
}

function startsWith(
  tokens: readonly string[],
  got: readonly string[],
): boolean {
  return got.every((token, place) => tokens[place] === token);
}
