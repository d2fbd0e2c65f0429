import {
  adapterId,
  adapterVersion,
  attemptNumber,
  modelId,
  requestId,
} from "@foxtailwind/core";
import type { AdapterReference, GenerateCall } from "@foxtailwind/edges";

/**
 * Names an adapter in its first version.
 * @param id The adapter.
 * @returns The reference.
 */
export function adapterOf(id: string): AdapterReference {
  return { adapter: adapterId(id), version: adapterVersion("1") };
}

/**
 * Makes a generation request.
 * @param request The request's id.
 * @param changes What differs from a short first attempt on adapter "a".
 * @returns The call.
 */
export function callOf(
  request: string,
  changes: Partial<GenerateCall> = {},
): GenerateCall {
  return {
    request: requestId(request),
    attempt: attemptNumber(1),
    model: modelId("base"),
    adapter: adapterOf("a"),
    messages: [{ role: "user", content: "Describe the treatment of a stain" }],
    maximumTokens: 5,
    priority: 0,
    fromSequence: 0,
    ...changes,
  };
}
