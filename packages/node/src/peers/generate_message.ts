import {
  adapterId,
  type AdapterReference,
  adapterVersion,
  attemptNumber,
  classId,
  type EngineId,
  type Instant,
  instant,
  milliseconds,
  modelId,
  requestId,
  tenantId,
} from "@foxtailwind/core";
import type { PromptMessage } from "@foxtailwind/edges";
import type { Adapter, GenerateRequest } from "@foxtailwind/protocol";
import type { GenerationRequest } from "../serving/generation_request.ts";

const FIRST_ATTEMPT = 1;

/** A request to be handed over to the controller of an engine. */
export interface HandOverRequest {
  readonly engine: EngineId;
  readonly generation: GenerationRequest;
  /** The present time on the sender's clock. */
  readonly now: Instant;
}

/**
 * Converts a request to a message. The time that it
 * has waited is sent as a duration.
 * @param handOver The request and its engine.
 * @returns The message.
 */
export function toGenerateRequest(
  handOver: HandOverRequest,
): GenerateRequest {
  const { engine, generation, now } = handOver;
  return {
    request: generation.request,
    attempt: generation.attempt ?? FIRST_ATTEMPT,
    engine,
    model: generation.model,
    adapter: generation.adapter,
    messages: [...generation.messages],
    maximumTokens: generation.maximumTokens,
    classId: generation.class,
    tenant: generation.tenant,
    firstTokenTargetMilliseconds: generation.firstTokenTarget,
    waitedMilliseconds: now - generation.arrivedAt,
    fromSequence: generation.fromSequence ?? 0,
  };
}

/**
 * Reads a request from a message.
 * @param message The message.
 * @param now The present time on the receiver's clock.
 * @returns The request, with its arrival time on the receiver's clock.
 */
export function fromGenerateRequest(
  message: GenerateRequest,
  now: Instant,
): GenerationRequest {
  return {
    request: requestId(message.request),
    model: modelId(message.model),
    adapter: fromAdapter(message.adapter),
    class: classId(message.classId),
    tenant: tenantId(message.tenant),
    firstTokenTarget: milliseconds(message.firstTokenTargetMilliseconds),
    messages: message.messages as readonly PromptMessage[],
    maximumTokens: message.maximumTokens,
    attempt: attemptNumber(message.attempt),
    fromSequence: message.fromSequence,
    arrivedAt: instant(now - message.waitedMilliseconds),
  };
}

/**
 * Reads an adapter reference from a message.
 * @param message The message, if there is one.
 * @returns The reference; with empty ids if there is no message.
 */
export function fromAdapter(message: Adapter | undefined): AdapterReference {
  return {
    adapter: adapterId(message?.adapter ?? ""),
    version: adapterVersion(message?.version ?? ""),
  };
}
