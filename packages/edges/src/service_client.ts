import type { BackendServerId, Failure, RunOutcome } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** One HTTP header. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** A call to one server of a plain service. */
export interface ServiceCall {
  readonly server: BackendServerId;
  /** IP literal and port. */
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly timeoutMilliseconds: number;
}

/** A server's answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** The server says that it is leaving and wants no new work. */
  readonly leaving: boolean;
  /** What the server itself states of whether the call ran. */
  readonly statedOutcome?: RunOutcome;
}

/** The edge to the plain services. */
export abstract class ServiceClient {
  /**
   * Calls one server once, without any retry.
   * @param call The call.
   * @param signal Gives the call up.
   * @returns The answer; or a failure whose outcome tells if it may have run.
   */
  abstract call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, Failure>>;
}
