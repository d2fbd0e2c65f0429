/** The step of the system's work at which an error arose. */
export type FailureStep =
  | "read_settings"
  | "parse_request"
  | "resolve_adapter"
  | "admit"
  | "claim_key"
  | "route"
  | "forward"
  | "load_adapter"
  | "evict_adapter"
  | "dispatch"
  | "generate"
  | "resume_stream"
  | "cancel"
  | "call_service"
  | "read_engine"
  | "read_log"
  | "append_log"
  | "read_vm_list"
  | "read_weight_store"
  | "take_over"
  | "hand_over"
  | "publish_configuration"
  | "exchange_heartbeat"
  | "drain";

/** What is known of whether the work ran. */
export type RunOutcome = "not_run" | "unknown" | "ran";

/** Why a step failed, in a form that programs can branch on. */
export type FailureReason =
  | "invalid"
  | "not_found"
  | "conflict"
  | "overloaded"
  | "unavailable"
  | "timeout"
  | "cancelled"
  | "fenced"
  | "expired"
  | "mismatch"
  | "corrupt"
  | "refused";

/** A typed error: what failed, at which step, facing which peer. */
export interface Failure {
  readonly reason: FailureReason;
  readonly step: FailureStep;
  /** The peer faced: a node, engine, service, store or caller; or `self`. */
  readonly peer: string;
  readonly message: string;
  /** Whether the work may have run; decides if another attempt is allowed. */
  readonly outcome: RunOutcome;
  /** When to come back, in milliseconds, where that is known. */
  readonly retryAfterMilliseconds?: number;
}
