import {
  adapterId,
  type AdapterReference,
  adapterVersion,
  classId,
  type Configuration,
  type Failure,
  type FailureReason,
  type FailureStep,
  type Instant,
  milliseconds,
  type RequestId,
  tenantId,
} from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import type { GenerationRequest } from "../../serving/generation_request.ts";
import {
  type CompletionRequest,
  maximumTokensOf,
} from "./completion_request.ts";

const DEFAULT_TENANT = "default";

/** Headers, id and arrival time of a completion request. */
export interface CompletionContext {
  readonly request: RequestId;
  readonly now: Instant;
  readonly class: string | undefined;
  readonly tenant: string | undefined;
}

/**
 * Resolves a caller's request against the configuration in force: its class
 * and one exact version of its adapter.
 * @param configuration The configuration in force.
 * @param body The request.
 * @param context The request's id, headers and arrival time.
 * @returns The request to run, or the failure that rejects it.
 */
export function resolveGeneration(
  configuration: Configuration,
  body: CompletionRequest,
  context: CompletionContext,
): Result<GenerationRequest, Failure> {
  if (context.class === undefined) {
    return err(refusalFailure("parse_request", {
      reason: "invalid",
      message: "Header x-foxtailwind-class is missing: name a class.",
    }));
  }
  const target = configuration.classes.get(classId(context.class));
  if (target === undefined) {
    return err(refusalFailure("parse_request", {
      reason: "not_found",
      message: `Class "${context.class}" is not configured.`,
    }));
  }
  return resolveAdapter(configuration, body.model).map((resolved) => ({
    request: context.request,
    model: resolved.model,
    adapter: resolved.reference,
    class: classId(context.class ?? ""),
    tenant: tenantId(context.tenant ?? DEFAULT_TENANT),
    firstTokenTarget: milliseconds(target.firstTokenMilliseconds),
    messages: body.messages,
    maximumTokens: maximumTokensOf(body),
    arrivedAt: context.now,
  }));
}

interface ResolvedAdapter {
  readonly model: GenerationRequest["model"];
  readonly reference: AdapterReference;
}

function resolveAdapter(
  configuration: Configuration,
  name: string,
): Result<ResolvedAdapter, Failure> {
  const at = name.lastIndexOf("@");
  const id = adapterId(at < 0 ? name : name.slice(0, at));
  const adapter = configuration.adapters.get(id);
  if (adapter === undefined) {
    return err(refusalFailure("resolve_adapter", {
      reason: "not_found",
      message: `Adapter "${id}" is not configured.`,
    }));
  }
  const version = at < 0 ? adapter.current : adapterVersion(name.slice(at + 1));
  if (!adapter.versions.includes(version)) {
    return err(refusalFailure("resolve_adapter", {
      reason: "not_found",
      message: `Adapter "${id}" has no version "${version}".`,
    }));
  }
  return ok({ model: adapter.model, reference: { adapter: id, version } });
}

function refusalFailure(
  step: FailureStep,
  why: { readonly reason: FailureReason; readonly message: string },
): Failure {
  return { ...why, step, peer: "caller", outcome: "not_run" };
}
