import {
  type BackendServerId,
  type Instant,
  type RequestId,
  seconds,
  type ServerStart,
  type ServiceId,
  type SoftwareVersion,
} from "../../shared/mod.ts";
import type { RegisteredServer } from "../registry/registered_server.ts";

/** A stream may be resumed for so long after it began. */
export const STREAM_RETENTION = seconds(120);

/** What began a stream, which only servers of the same software continue. */
export interface StreamOrigin {
  /** The caller's attempt that brought the first event. */
  readonly attempt: RequestId;
  readonly service: ServiceId;
  readonly software: SoftwareVersion;
  /** The server that sent the first event. */
  readonly server: BackendServerId;
  /** The start of that server as registered then, if known. */
  readonly start?: ServerStart;
  /** When the first event arrived, by the clock of this node. */
  readonly begunAt: Instant;
}

/**
 * Checks whether a server may continue a stream.
 * @param origin What began the stream.
 * @param server The server.
 * @returns Whether it belongs to the same service and runs the same software.
 */
export function mayContinue(
  origin: Pick<StreamOrigin, "service" | "software">,
  server: RegisteredServer,
): boolean {
  return server.service === origin.service &&
    server.software === origin.software;
}
