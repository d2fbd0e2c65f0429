/** The processing step at which an error occurred. */
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

/** Whether the work is known to have run. */
export type RunOutcome = "not_run" | "unknown" | "ran";

/** Machine-readable reason why a step failed. */
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

/** A typed error: why an operation failed, at which step, with which peer. */
export interface Failure {
  readonly reason: FailureReason;
  readonly step: FailureStep;
  /** The other party: a node, engine, service, store or caller; or `self`. */
  readonly peer: string;
  readonly message: string;
  /** Whether the work may have run; determines whether a retry is allowed. */
  readonly outcome: RunOutcome;
  /** How long to wait before retrying, in milliseconds, if known. */
  readonly retryAfterMilliseconds?: number;
}
