import { type Duration } from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { AnswerPassage } from "./answer_passage.ts";
import type { BackendCall } from "./backend_call.ts";

/** How many targets a silent server gets where another may be tried. */
const SILENT_TARGETS = 2;
/** A pause in a resumable stream after which another server is tried. */
const SILENT_STREAM_MILLISECONDS = 1_200;
/** Between two looks at a call that may be replaced. */
const LOOK_MILLISECONDS = 40;
/**
 * How long a call waits for a connection: a new one takes a few milliseconds,
 * and the first lost packet of one is sent again after a second.
 */
const CONNECTION_MILLISECONDS = 300;

/** What a call is watched for. */
export interface CallWatch {
  readonly clock: SteadyClock;
  readonly passage: AnswerPassage;
  /** The time in which an answer, or a first event, is wanted. */
  readonly target: Duration;
  /** Whether another server may take the request over. */
  readonly mayBeReplaced: boolean;
  /** Called before a silent call is cut. */
  readonly fellSilent: () => void;
}

/**
 * Cuts a call that gets no connection, or no answer though another server
 * could be tried. A server's silence alone never ends any other call.
 * @param call The call.
 * @param watch What it is watched for.
 * @returns Ends the watch.
 */
export function watchCall(call: BackendCall, watch: CallWatch): () => void {
  let isOver = false;
  const connecting = setTimeout(() => {
    afterPendingInput(() => {
      if (!isOver && !call.wasSent) call.cut("No connection was ready.");
    });
  }, CONNECTION_MILLISECONDS);
  const looking = watch.mayBeReplaced
    ? setInterval(() => {
      if (!isSilent(watch)) return;
      afterPendingInput(() => {
        if (!isOver && isSilent(watch)) cutSilent(call, watch);
      });
    }, LOOK_MILLISECONDS)
    : undefined;
  return () => {
    isOver = true;
    clearTimeout(connecting);
    clearInterval(looking);
  };
}

function isSilent({ clock, passage, target }: CallWatch): boolean {
  const limit = target * SILENT_TARGETS;
  const most = passage.hasBegun
    ? Math.max(SILENT_STREAM_MILLISECONDS, limit)
    : limit;
  return passage.silence(clock.now()) >= most;
}

function cutSilent(call: BackendCall, { fellSilent }: CallWatch): void {
  fellSilent();
  call.cut("The server is silent.");
}
