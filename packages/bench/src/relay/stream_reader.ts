import { EventSplitter } from "@foxtailwind/core";
import { request as send } from "undici";

/** An event of a stand-in engine's stream. */
export interface StandInEvent {
  readonly id: number;
  /** The software version of the engine that wrote it. */
  readonly software: string;
}

/** What a caller received of a stream. */
export interface StreamPart {
  /** The id of the caller's attempt. */
  readonly attempt: string;
  readonly status: number;
  readonly events: readonly StandInEvent[];
  /** Whether the stream ended by itself and was not cut off. */
  readonly isComplete: boolean;
}

/** A caller's request for a stream. */
export interface StreamRequest {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  /** The number of events after which the caller leaves. */
  readonly limit?: number | undefined;
}

/**
 * Requests a stream and reads its events.
 * @param attempt The id of the caller's attempt.
 * @param request The request.
 * @returns The events that arrived; with status 0 if no answer did.
 */
export async function readStream(
  attempt: string,
  { url, headers, limit = Infinity }: StreamRequest,
): Promise<StreamPart> {
  const events: StandInEvent[] = [];
  const splitter = new EventSplitter();
  let status = 0;
  try {
    const { statusCode, body } = await send(url, {
      method: "POST",
      headers,
      reset: true,
    });
    status = statusCode;
    for await (const bytes of body) {
      for (const event of splitter.push(bytes as Buffer)) {
        const text = event.bytes.toString();
        const [, id, software] = /^id: (\d+)\nevent: (\S+)\n/.exec(text) ?? [];
        if (id === undefined || software === undefined) continue;
        events.push({ id: Number(id), software });
      }
      if (events.length >= limit) {
        return { attempt, status, events, isComplete: false };
      }
    }
    return { attempt, status, events, isComplete: true };
  } catch {
    return { attempt, status, events, isComplete: false };
  }
}
