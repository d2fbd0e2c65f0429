import { type Duration } from "@foxtailwind/core";
import { afterPendingInput } from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { AnswerForwarder } from "./answer_forwarder.ts";
import type { BackendCall } from "./backend_call.ts";

/** A silent call that may be replaced is cut after this many targets. */
const SILENCE_TARGET_RATIO = 2;
/** Silence in a resumable stream before another server is tried, at least. */
const MINIMUM_STREAM_SILENCE_MILLISECONDS = 1_200;
/** The interval between checks of a call that may be replaced. */
const CHECK_INTERVAL_MILLISECONDS = 40;
/**
 * How long a call waits for a connection: opening one takes a few milliseconds,
 * and if its first packet is lost, it is retransmitted only after a second.
 */
const CONNECTION_TIMEOUT_MILLISECONDS = 300;

/** How a call is watched. */
export interface CallWatch {
  readonly clock: SteadyClock;
  readonly passage: AnswerForwarder;
  /** The target latency of the answer or of its first event. */
  readonly target: Duration;
  /** Whether the request may be sent to another server instead. */
  readonly mayBeReplaced: boolean;
  /** Called before a call is cut because of silence. */
  readonly onSilence: () => void;
}

/**
 * Cuts a call that gets no connection, or that stays silent while another
 * server could be tried. Silence alone never ends any other call.
 * @param call The call.
 * @param watch How it is watched.
 * @returns A function that stops watching.
 */
export function watchCall(call: BackendCall, watch: CallWatch): () => void {
  let isOver = false;
  const connectionTimer = setTimeout(() => {
    afterPendingInput(() => {
      if (!isOver && !call.wasSent) call.abort("No connection was ready.");
    });
  }, CONNECTION_TIMEOUT_MILLISECONDS);
  const silenceTimer = watch.mayBeReplaced
    ? setInterval(() => {
      if (!isSilent(watch)) return;
      afterPendingInput(() => {
        if (!isOver && isSilent(watch)) cutSilent(call, watch);
      });
    }, CHECK_INTERVAL_MILLISECONDS)
    : undefined;
  return () => {
    isOver = true;
    clearTimeout(connectionTimer);
    clearInterval(silenceTimer);
  };
}

function isSilent({ clock, passage, target }: CallWatch): boolean {
  const limit = target * SILENCE_TARGET_RATIO;
  const maximumSilence = passage.hasBegun
    ? Math.max(MINIMUM_STREAM_SILENCE_MILLISECONDS, limit)
    : limit;
  return passage.silenceDuration(clock.now()) >= maximumSilence;
}

function cutSilent(
  call: BackendCall,
  { onSilence }: CallWatch,
): void {
  onSilence();
  call.abort("The server is silent.");
}
