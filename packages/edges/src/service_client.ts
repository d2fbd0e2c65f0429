import type { BackendServerId, Failure, RunOutcome } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** One HTTP header. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** A request to one backend server of a plain service. */
export interface ServiceCall {
  readonly server: BackendServerId;
  /** The server's IP literal and port. */
  readonly address: string;
  readonly method: string;
  /** The request path with its query string. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly timeoutMilliseconds: number;
}

/** A backend server's response. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Whether the server announced that it is leaving and wants no new work. */
  readonly leaving: boolean;
  /** Whether the call ran, as reported by the server itself. */
  readonly statedOutcome?: RunOutcome;
}

/** Client for the plain services. */
export abstract class ServiceClient {
  /**
   * Sends one request to one server, without retries.
   * @param call The request to send.
   * @param signal Aborts the call.
   * @returns The response, or a failure whose outcome tells whether the call
   * may have run.
   */
  abstract call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, Failure>>;
}
