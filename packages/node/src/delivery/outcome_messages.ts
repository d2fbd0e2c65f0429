import {
  type ClaimVerdict,
  idempotencyKey,
  incarnationId,
  type KeyClaim,
  logOffset,
  nodeId,
} from "@foxtailwind/core";
import type {
  ClaimVerdict as ClaimVerdictMessage,
  KeyClaim as KeyClaimMessage,
  KeyedOutcome,
} from "@foxtailwind/protocol";
import { err, ok } from "neverthrow";
import {
  fromFailureMessage,
  toFailureMessage,
} from "../peers/failure_message.ts";
import type { KeyedResult } from "./keyed_execution.ts";

/**
 * Converts the outcome of a key to a message.
 * @param result The outcome.
 * @returns The message.
 */
export function toKeyedOutcome(result: KeyedResult): KeyedOutcome {
  const messageResult: KeyedOutcome["result"] = result.match(
    (answer) => ({ $case: "answer", value: Buffer.from(answer) }),
    (failure) => ({ $case: "failure", value: toFailureMessage(failure) }),
  );
  return { result: messageResult };
}

/**
 * Reads the outcome of a key from a message.
 * @param message The message.
 * @param peer The sender.
 * @returns The outcome; unknown if the message has none.
 */
export function fromKeyedOutcome(
  message: KeyedOutcome,
  peer: string,
): KeyedResult {
  switch (message.result?.$case) {
    case "answer":
      return ok(message.result.value);
    case "failure":
      return err(fromFailureMessage(message.result.value));
    case undefined:
      return err({
        reason: "corrupt",
        step: "forward",
        peer,
        message: "The answer holds no outcome.",
        outcome: "unknown",
      });
  }
}

/**
 * Converts a claim to a message.
 * @param claim The claim.
 * @returns The message.
 */
export function toClaimMessage(claim: KeyClaim): KeyClaimMessage {
  return { ...claim, epoch: claim.epoch };
}

/**
 * Reads a claim from a message.
 * @param message The message.
 * @returns The claim.
 */
export function fromClaimMessage(message: KeyClaimMessage): KeyClaim {
  const { epoch } = message;
  return {
    key: idempotencyKey(message.key),
    nonce: message.nonce,
    digest: message.digest,
    node: nodeId(message.node),
    incarnation: incarnationId(message.incarnation),
    ...(epoch !== undefined && { epoch: logOffset(epoch) }),
  };
}

/**
 * Converts a verdict to a message.
 * @param verdict The verdict.
 * @returns The message.
 */
export function toVerdictMessage(verdict: ClaimVerdict): ClaimVerdictMessage {
  switch (verdict.kind) {
    case "winner":
      return {
        result: { $case: "winner", value: toClaimMessage(verdict.claim) },
      };
    case "refused":
      return {
        result: { $case: "failure", value: toFailureMessage(verdict.failure) },
      };
  }
}

/**
 * Reads a verdict from a message.
 * @param message The message, if there is one.
 * @param peer The sender.
 * @returns The verdict; refused if the message has none.
 */
export function fromVerdictMessage(
  message: ClaimVerdictMessage | undefined,
  peer: string,
): ClaimVerdict {
  switch (message?.result?.$case) {
    case "winner":
      return { kind: "winner", claim: fromClaimMessage(message.result.value) };
    case "failure":
      return {
        kind: "refused",
        failure: fromFailureMessage(message.result.value),
      };
    case undefined:
      return createUnsettledVerdict(peer, "The answer holds no verdict.");
  }
}

/**
 * Creates the verdict of a claim that the gathering node did not settle. The
 * claimant has not run the key, so the outcome is "not run".
 * @param peer The gathering node.
 * @param message What went wrong.
 * @returns The verdict.
 */
export function createUnsettledVerdict(
  peer: string,
  message: string,
): ClaimVerdict {
  return {
    kind: "refused",
    failure: {
      reason: "unavailable",
      step: "claim_key",
      peer,
      message,
      outcome: "not_run",
    },
  };
}
