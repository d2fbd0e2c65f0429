import {
  chooseTarget,
  type Route,
  type ServiceId,
  type StreamOrigin,
  type StreamSource,
} from "@foxtailwind/core";
import type { CallerRequest } from "../caller_wire.ts";
import type { OriginLookup, StreamDirectory } from "./stream_directory.ts";
import type { StreamSourceRecorder } from "./stream_source_recorder.ts";

/** What is known of the begin of a stream that a request resumes. */
export type ResumedOrigin =
  & Pick<StreamOrigin, "service" | "software">
  & Partial<Pick<StreamOrigin, "server" | "begunAt">>;

/** Where a request goes, or why it is refused. */
export type RequestTarget =
  | {
    readonly kind: "chosen";
    readonly service: ServiceId;
    /** What began the stream, if the request resumes one. */
    readonly origin?: ResumedOrigin;
  }
  | {
    readonly kind: "refused";
    readonly code:
      | "no_route"
      /** It can't be told for certain what began the stream. */
      | "unknown_stream"
      /** A restarted server may have begun it with other software. */
      | "uncertain_stream"
      /** The route no longer leads to the service that began it. */
      | "moved_stream";
  };

/** What {@link chooseRequestTarget} goes by. */
export interface ResumptionParts {
  readonly streams: Pick<StreamDirectory, "find" | "findArchived">;
  readonly streamRecorder: Pick<StreamSourceRecorder, "findOnlySource">;
}

/** A request with its path, and a random number for split routes. */
export interface TargetTerms {
  readonly caller: CallerRequest;
  readonly path: string;
  /** In [0, 1). */
  readonly draw: number;
}

/**
 * Chooses the service of a request. A stream that is resumed goes on at the
 * service and software that began it. Where no node knows what did, it goes on
 * only if a single one can have begun it.
 * @param parts What is known of streams and servers.
 * @param route The route of the request.
 * @param terms The request.
 * @returns The service, or why there is none.
 */
export async function chooseRequestTarget(
  parts: ResumptionParts,
  route: Route,
  terms: TargetTerms,
): Promise<RequestTarget> {
  const { caller, draw } = terms;
  if (!route.resumable || caller.lastEventId === undefined) {
    const service = chooseTarget(route, draw);
    return service === undefined
      ? { kind: "refused", code: "no_route" }
      : { kind: "chosen", service };
  }
  const lookup = await findOrigin(parts, route, terms);
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

type ResumedLookup =
  | { readonly kind: "known"; readonly origin: ResumedOrigin }
  | Exclude<OriginLookup, { readonly kind: "known" }>;

/**
 * Finds what began a stream: from the nodes that keep it, from the software that
 * can have begun any, or from the log.
 */
async function findOrigin(
  { streams, streamRecorder }: ResumptionParts,
  route: Route,
  { caller, path }: TargetTerms,
): Promise<ResumedLookup> {
  const { resumes } = caller;
  if (resumes !== undefined) {
    const lookup = await streams.find(resumes);
    if (lookup.kind !== "unknown") return lookup;
  }
  const source = await streamRecorder.findOnlySource(route, path);
  if (source !== undefined) return { kind: "known", origin: toOrigin(source) };
  return resumes === undefined
    ? { kind: "unknown" }
    : await streams.findArchived(resumes);
}

function toOrigin({ service, software }: StreamSource): ResumedOrigin {
  return { service, software };
}
