import {
  chooseTarget,
  type Route,
  type ServiceId,
  type StreamOrigin,
} from "@foxtailwind/core";
import type { CallerRequest } from "../caller_wire.ts";
import type { Knowledge } from "../knowledge.ts";
import type { StreamDirectory } from "./stream_directory.ts";

/** Where a request goes, or why it is refused. */
export type RequestTarget =
  | {
    readonly kind: "chosen";
    readonly service: ServiceId;
    /** What began the stream, if the request resumes one. */
    readonly origin?: StreamOrigin;
  }
  | {
    readonly kind: "refused";
    readonly code:
      | "no_route"
      /** Nobody that could be asked knows what began the stream. */
      | "unknown_stream"
      /** A restarted server may have begun it with other software. */
      | "uncertain_stream"
      /** The route no longer leads to the service that began it. */
      | "moved_stream";
  };

/** What {@link chooseRequestTarget} goes by. */
export interface ResumptionParts {
  readonly streams: Pick<StreamDirectory, "find">;
  readonly knowledge: Pick<Knowledge, "hasSingleVersion">;
}

/**
 * Chooses the service of a request. A stream that is resumed goes on at the
 * service that began it. A caller that doesn't name the attempt that brought its
 * first event is served only if the service runs a single software version.
 * @param parts What is known of streams and servers.
 * @param route The route of the request.
 * @param caller The request.
 * @param draw A random number in [0, 1).
 * @returns The service, or why there is none.
 */
export async function chooseRequestTarget(
  { streams, knowledge }: ResumptionParts,
  route: Route,
  caller: CallerRequest,
  draw: number,
): Promise<RequestTarget> {
  const isResumption = route.resumable && caller.lastEventId !== undefined;
  if (!isResumption || caller.resumes === undefined) {
    const service = chooseTarget(route, draw);
    if (service === undefined) return { kind: "refused", code: "no_route" };
    return isResumption && !knowledge.hasSingleVersion(service)
      ? { kind: "refused", code: "unknown_stream" }
      : { kind: "chosen", service };
  }
  const lookup = await streams.find(caller.resumes);
  if (lookup.kind !== "known") {
    return { kind: "refused", code: `${lookup.kind}_stream` };
  }
  const { origin } = lookup;
  const isTarget = route.targets.some(({ service, weight }) =>
    service === origin.service && weight > 0
  );
  return isTarget
    ? { kind: "chosen", service: origin.service, origin }
    : { kind: "refused", code: "moved_stream" };
}
