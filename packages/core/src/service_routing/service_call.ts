import type {
  AttemptNumber,
  BackendServerId,
  Duration,
  Failure,
  FailureDomainId,
  RequestId,
  RunOutcome,
} from "../shared/mod.ts";

/** A call to a plain service, as far as routing needs to know it. */
export interface RoutedCall {
  readonly call: RequestId;
  /** Whether running it more than once does no harm. */
  readonly repeatable: boolean;
}

/** One server of a service, as the VM list tells it. */
export interface ServiceServerView {
  readonly server: BackendServerId;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
}

/** Names one attempt at a call. */
export interface AttemptReference {
  readonly call: RequestId;
  readonly attempt: AttemptNumber;
}

/** How an attempt ended. */
export type AttemptResult =
  | {
    readonly kind: "answered";
    readonly status: number;
    /** The server says in its answer that it is leaving. */
    readonly leaving: boolean;
    /** What the server states of whether the call ran. */
    readonly statedOutcome?: RunOutcome;
  }
  | { readonly kind: "failed"; readonly failure: Failure };

/** What the router wants done; the shell carries it out. */
export type ServiceOrder =
  | (AttemptReference & {
    readonly kind: "dispatch";
    readonly server: BackendServerId;
    readonly timeout: Duration;
  })
  /** Gives up an attempt whose answer is no longer wanted. */
  | (AttemptReference & { readonly kind: "abandon" })
  /** Passes an attempt's answer on to the caller. */
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
 * Tells whether a result counts against the server.
 * @param result How the attempt ended.
 * @returns Whether the server failed.
 */
export function isServerFault(result: AttemptResult): boolean {
  if (result.kind === "failed") return result.failure.reason !== "cancelled";
  const { status } = result;
  return status >= SERVER_FAULT_STATUS && status !== NOT_IMPLEMENTED_STATUS;
}

/**
 * Tells whether a result says that the server has too much to do.
 * @param result How the attempt ended.
 * @returns Whether it is a sign of overload.
 */
export function isOverload(result: AttemptResult): boolean {
  if (result.kind === "failed") return result.failure.reason === "timeout";
  if (result.status === TOO_MANY_REQUESTS_STATUS) return true;
  return result.statedOutcome === "not_run" &&
    result.status >= SERVER_FAULT_STATUS;
}

/**
 * Tells whether a result is an answer to pass on without another attempt.
 * @param result How the attempt ended.
 * @returns Whether the server answered, with no fault and no overload.
 */
export function isGoodAnswer(result: AttemptResult): boolean {
  return result.kind === "answered" && !isServerFault(result) &&
    !isOverload(result);
}

/**
 * Tells whether it is proven that an attempt did not run.
 * @param result How the attempt ended.
 * @returns Whether another attempt cannot be a second run.
 */
export function isProvenNotRun(result: AttemptResult): boolean {
  if (result.kind === "failed") return result.failure.outcome === "not_run";
  return result.statedOutcome === "not_run";
}
