import type {
  AttemptNumber,
  BackendServerId,
  Duration,
  Failure,
  FailureDomainId,
  RequestId,
  RunOutcome,
} from "../shared/mod.ts";

/** The properties of a service call that routing needs. */
export interface RoutedCall {
  readonly call: RequestId;
  /** Whether the call is safe to run more than once. */
  readonly repeatable: boolean;
}

/** A server of a service, as listed in the VM list. */
export interface ServiceServerView {
  readonly server: BackendServerId;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
}

/** Identifies one attempt of a call. */
export interface AttemptReference {
  readonly call: RequestId;
  readonly attempt: AttemptNumber;
}

/** How an attempt ended. */
export type AttemptResult =
  | {
    readonly kind: "answered";
    readonly status: number;
    /** Whether the server announces in its answer that it is leaving. */
    readonly leaving: boolean;
    /** Whether the call ran, as stated by the server. */
    readonly statedOutcome?: RunOutcome;
  }
  | { readonly kind: "failed"; readonly failure: Failure };

/** An action decided by the router, to be executed by its caller. */
export type ServiceOrder =
  | (AttemptReference & {
    readonly kind: "dispatch";
    readonly server: BackendServerId;
    readonly timeout: Duration;
  })
  /** Abandons an attempt whose answer is no longer needed. */
  | (AttemptReference & { readonly kind: "abandon" })
  /** Forwards an attempt's answer to the caller. */
  | (AttemptReference & { readonly kind: "answer" })
  | {
    readonly kind: "fail";
    readonly call: RequestId;
    readonly failure: Failure;
  };

const SERVER_FAULT_STATUS = 500;
const NOT_IMPLEMENTED_STATUS = 501;
const TOO_MANY_REQUESTS_STATUS = 429;

/**
 * Checks whether a result counts as a fault of the server.
 * @param result How the attempt ended.
 * @returns Whether the server failed.
 */
export function isServerFault(result: AttemptResult): boolean {
  if (result.kind === "failed") return result.failure.reason !== "cancelled";
  const { status } = result;
  return status >= SERVER_FAULT_STATUS && status !== NOT_IMPLEMENTED_STATUS;
}

/**
 * Checks whether a result indicates that the server is overloaded.
 * @param result How the attempt ended.
 * @returns Whether the server is overloaded.
 */
export function isOverload(result: AttemptResult): boolean {
  if (result.kind === "failed") return result.failure.reason === "timeout";
  if (result.status === TOO_MANY_REQUESTS_STATUS) return true;
  return result.statedOutcome === "not_run" &&
    result.status >= SERVER_FAULT_STATUS;
}

/**
 * Checks whether a result is an answer to forward without another attempt.
 * @param result How the attempt ended.
 * @returns Whether the server answered, with no fault and no overload.
 */
export function isGoodAnswer(result: AttemptResult): boolean {
  return result.kind === "answered" && !isServerFault(result) &&
    !isOverload(result);
}

/**
 * Checks whether an attempt is proven not to have run.
 * @param result How the attempt ended.
 * @returns Whether another attempt cannot be a second run.
 */
export function isProvenNotRun(result: AttemptResult): boolean {
  if (result.kind === "failed") return result.failure.outcome === "not_run";
  return result.statedOutcome === "not_run";
}
