import {
  assertInvariant,
  type ExecutionKey,
  type RunResult,
} from "@foxtailwind/core";

/** One call of a caller; a retry is another call with the same key. */
export interface KeyWorldCall {
  readonly key: ExecutionKey;
  readonly body: string;
  readonly sentAt: number;
  readonly answers: RunResult[];
  /** Whether the node that took it was killed before it answered. */
  cut: boolean;
}

/**
 * Gives the service's answer to a call.
 * @param call The call.
 * @returns The answer, which no other call has.
 */
export function answerOf(call: KeyWorldCall): string {
  return `${call.key.key} ran with ${call.body}`;
}

/**
 * Checks what a caller was told of a call against what the service did.
 * @param call The call.
 * @param runs The calls with its key that ran.
 */
export function checkCall(
  call: KeyWorldCall,
  runs: readonly KeyWorldCall[],
): void {
  for (const answer of call.answers) {
    const told = answer.isOk() ? "ran" : answer.error.outcome;
    assertInvariant(
      told !== "not_run" || !runs.includes(call),
      "not_run_means_not_run",
      () => `A call of key ${call.key.key} ran in spite of its answer.`,
    );
    assertInvariant(
      told !== "ran" || runs.length === 1,
      "ran_means_ran",
      () => `Key ${call.key.key} ran ${runs.length} times.`,
    );
    const text = answer.isOk() ? Buffer.from(answer.value).toString() : "";
    assertInvariant(
      answer.isErr() || text === answerOf(call),
      "own_answer_only",
      () => `A call of key ${call.key.key} got "${text}".`,
    );
  }
}
