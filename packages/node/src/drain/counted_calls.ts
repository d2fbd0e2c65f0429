import type { PeerRegistration } from "../peers/peer_server.ts";
import type { WorkInProgress } from "./work_in_progress.ts";

/** The part of a gRPC server call that tells of its end. */
interface EndingCall {
  on(event: "finish" | "close" | "cancelled" | "error", end: () => void): void;
}

/**
 * Counts the calls of a streaming service as work in progress.
 * @param registration The service.
 * @param work Counts.
 * @returns The same service, counted.
 */
export function countCalls(
  registration: PeerRegistration,
  work: WorkInProgress,
): PeerRegistration {
  const implementation = { ...registration.implementation };
  for (const [name, handler] of Object.entries(implementation)) {
    const handle = handler as (call: EndingCall, ...rest: unknown[]) => void;
    implementation[name] = (call: EndingCall, ...rest: unknown[]): void => {
      const end = work.begin();
      for (const event of ENDS) call.on(event, end);
      handle(call, ...rest);
    };
  }
  return { ...registration, implementation };
}

const ENDS = ["finish", "close", "cancelled", "error"] as const;
