import type { PeerRegistration } from "../peers/peer_server.ts";
import type { WorkInProgress } from "./work_in_progress.ts";

/** The part of a gRPC server call that tells of its end. */
interface EndingCall {
  on(event: (typeof ENDS)[number], end: () => void): void;
}

type Callback = (...parameters: readonly unknown[]) => void;
type Handler = (call: EndingCall, callback?: Callback) => void;

const ENDS = ["finish", "close", "cancelled", "error"] as const;

/**
 * Counts the calls of a service between nodes as work in progress, so that a
 * planned stop waits for them. For services that carry requests of callers.
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
    implementation[name] = counted(handler as Handler, work);
  }
  return { ...registration, implementation };
}

function counted(handler: Handler, work: WorkInProgress): Handler {
  return (call, callback) => {
    const end = work.begin();
    for (const event of ENDS) call.on(event, end);
    if (callback === undefined) {
      handler(call);
      return;
    }
    handler(call, (...parameters) => {
      end();
      callback(...parameters);
    });
  };
}
