import type { Dispatcher } from "undici";

/** Options of an HTTP client that calls one peer. */
export interface HttpClientOptions {
  /** `http://` with an IP literal and port, without a path. */
  readonly baseAddress: string;
  /** Manages the connections; clients of several peers may share one. */
  readonly dispatcher: Dispatcher;
  /** The peer's name in failures. */
  readonly peer: string;
  /** The limit of a call, to which the wait time of a long poll is added. */
  readonly timeoutMilliseconds?: number;
}

/** The default limit of a call. */
export const DEFAULT_TIMEOUT_MILLISECONDS = 5_000;
