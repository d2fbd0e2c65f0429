import type { Explanation } from "@foxtailwind/core";
import type { telemetry } from "@foxtailwind/protocol";

/**
 * Converts an explanation to its gRPC message.
 * @param explanation The explanation.
 * @returns The message.
 */
export function toExplanationMessage(
  explanation: Explanation,
): telemetry.Explanation {
  return {
    request: explanation.request,
    classId: explanation.class ?? "",
    tenant: explanation.tenant ?? "",
    adapter: explanation.adapter ?? "",
    open: explanation.open,
    ageMilliseconds: explanation.age,
    steps: explanation.steps.map((step) => ({
      afterMilliseconds: step.after,
      kind: step.kind,
      sentence: step.sentence,
    })),
    leftOut: explanation.leftOut,
    frames: explanation.frames,
    tokens: explanation.tokens,
    firstFrameAfterMilliseconds: explanation.firstFrameAfter,
    lastFrameAfterMilliseconds: explanation.lastFrameAfter,
  };
}
