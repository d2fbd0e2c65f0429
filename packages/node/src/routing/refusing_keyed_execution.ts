import type { Failure } from "@foxtailwind/core";
import { err } from "neverthrow";
import { KeyedExecution, type KeyedResult } from "../delivery/mod.ts";

/** Refuses all keyed work, where nothing can remember its outcome. */
export class RefusingKeyedExecution extends KeyedExecution {
  override register(): void {
    // Work that is always refused is not kept.
  }

  override execute(): Promise<KeyedResult> {
    return Promise.resolve(err(REFUSAL));
  }

  override scopeText(): string {
    return "";
  }
}

const REFUSAL: Failure = {
  reason: "unavailable",
  step: "claim_key",
  peer: "self",
  message: "This node cannot remember outcomes of keys.",
  outcome: "not_run",
};
