import {
  adapterId,
  adapterVersion,
  attemptNumber,
  modelId,
  requestId,
} from "@foxtailwind/core";
import type { AdapterReference, GenerateCall } from "@foxtailwind/edges";

/**
 * Creates a reference to the first version of an adapter.
 * @param id The adapter's id.
 * @returns The reference.
 */
export function createAdapterReference(id: string): AdapterReference {
  return { adapter: adapterId(id), version: adapterVersion("1") };
}

/**
 * Creates a request for generation.
 * @param request The request's id.
 * @param changes Fields that differ from a short first attempt on adapter "a".
 * @returns The request.
 */
export function createGenerateCall(
  request: string,
  changes: Partial<GenerateCall> = {},
): GenerateCall {
  return {
    request: requestId(request),
    attempt: attemptNumber(1),
    model: modelId("base"),
    adapter: createAdapterReference("a"),
    messages: [{ role: "user", content: "Describe the treatment of a stain" }],
    maximumTokens: 5,
    priority: 0,
    fromSequence: 0,
    ...changes,
  };
}
