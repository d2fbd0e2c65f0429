import type { Dispatcher } from "undici";

/** What each HTTP client of one peer needs. */
export interface HttpClientOptions {
  /** `http://` with an IP literal and a port, without a path. */
  readonly baseAddress: string;
  /** Carries the connections; clients of many peers may share one. */
  readonly dispatcher: Dispatcher;
  /** Names the peer in failures. */
  readonly peer: string;
  /** How long a call may take; long waits asked for are added to it. */
  readonly timeoutMilliseconds?: number;
}

/** How long a call may take where its options do not say. */
export const DEFAULT_TIMEOUT_MILLISECONDS = 5_000;
