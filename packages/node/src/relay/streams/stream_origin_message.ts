import {
  backendServerId,
  elapsed,
  type Instant,
  instant,
  requestId,
  serviceId,
  softwareVersion,
  type StreamOrigin,
} from "@foxtailwind/core";
import type { StreamOrigin as StreamOriginMessage } from "@foxtailwind/protocol";
import { encodeDuration } from "../encoded_numbers.ts";
import { decodeStart, encodeStart } from "../start_message.ts";

/**
 * Encodes what began a stream for a peer.
 * @param now The present time.
 * @param origin What began the stream.
 * @returns The message.
 */
export function encodeStreamOrigin(
  now: Instant,
  { attempt, service, software, server, start, begunAt }: StreamOrigin,
): StreamOriginMessage {
  const ageMilliseconds = encodeDuration(elapsed(begunAt, now));
  return {
    attempt,
    service,
    software,
    server,
    ageMilliseconds,
    start: encodeStart(start),
  };
}

/**
 * Decodes what began a stream from a peer.
 * @param now The present time.
 * @param message The message.
 * @returns What began the stream.
 */
export function decodeStreamOrigin(
  now: Instant,
  message: StreamOriginMessage,
): StreamOrigin {
  const start = decodeStart(message.start);
  return {
    attempt: requestId(message.attempt),
    service: serviceId(message.service),
    software: softwareVersion(message.software),
    server: backendServerId(message.server),
    ...(start === undefined ? {} : { start }),
    begunAt: instant(now - message.ageMilliseconds),
  };
}
