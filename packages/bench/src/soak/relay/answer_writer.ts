import { resetConnection } from "@foxtailwind/edges";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { AnswerPlan } from "./answer_plan.ts";

/** An answer to be written as planned. */
export interface PlannedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly pieces: readonly string[];
  /** Between two pieces, in milliseconds. */
  readonly pause: number;
  /** Called when the head is written. */
  readonly onHead: () => void;
}

/** How the writing of an answer ended. */
export type WritingEnd = "whole" | "reset" | "close" | "silence" | "left";

const LINE = "\r\n";
/** Connections on which an answer has begun and not ended. */
const MID_ANSWER = new WeakSet<Socket>();
/** Copies that are written once the connection's next request has come. */
const COPIES = new WeakMap<Socket, string>();

/**
 * Writes an answer, or the part of it that is planned.
 * @param socket The connection.
 * @param answer The answer.
 * @param plan How it is framed, and where it breaks off.
 * @returns How it ended; "left" where the connection was gone.
 */
export async function writeAnswer(
  socket: Socket,
  answer: PlannedAnswer,
  plan: AnswerPlan,
): Promise<WritingEnd> {
  await sleep(plan.delay);
  if (plan.kind === "lose") return breakOff(socket, plan);
  const head = headOf(answer, plan);
  MID_ANSWER.add(socket);
  socket.write(head);
  answer.onHead();
  const written: string[] = [head];
  const breaksAt = plan.break === "none" ? undefined : plan.piecesBefore;
  for (const [index, piece] of answer.pieces.entries()) {
    if (index > 0) await sleep(answer.pause);
    if (socket.destroyed) return "left";
    if (index === breaksAt) {
      // A crash leaves its last event cut in half.
      socket.write(frame(piece, plan, piece.length >> 1));
      await sleep(2);
      return breakOff(socket, plan);
    }
    const framed = frame(piece, plan);
    socket.write(framed);
    written.push(framed);
  }
  if (socket.destroyed) return "left";
  finish(socket, plan, written);
  MID_ANSWER.delete(socket);
  return "whole";
}

/**
 * Writes what a connection's last answer said once more, where so planned.
 * @param socket The connection, on which a request has come.
 */
export function repeatLastAnswer(socket: Socket): void {
  const copy = COPIES.get(socket);
  COPIES.delete(socket);
  if (copy !== undefined) socket.write(copy);
}

function breakOff(socket: Socket, plan: AnswerPlan): WritingEnd {
  if (plan.break === "reset") resetConnection(socket);
  if (plan.break === "close") socket.destroy();
  return plan.break === "none" ? "silence" : plan.break;
}

function headOf(answer: PlannedAnswer, plan: AnswerPlan): string {
  const { status, headers, pieces } = answer;
  const length = pieces.reduce((sum, piece) => sum + piece.length, 0);
  const framing = {
    length: `content-length: ${length}`,
    chunks: "transfer-encoding: chunked",
    connection: "connection: close",
  }[plan.framing];
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}`
  );
  return [`HTTP/1.1 ${status} Planned`, ...lines, framing, "", ""].join(LINE);
}

/** Frames a piece, of which only some bytes may be written. */
function frame(piece: string, plan: AnswerPlan, bytes = piece.length): string {
  const part = piece.slice(0, bytes);
  if (plan.framing !== "chunks") return part;
  const size = piece.length.toString(16);
  const end = bytes === piece.length ? LINE : "";
  return `${size}${LINE}${part}${end}`;
}

function finish(
  socket: Socket,
  plan: AnswerPlan,
  written: readonly string[],
): void {
  if (plan.framing === "connection") {
    socket.end();
    return;
  }
  const last = plan.framing === "chunks" ? `0${LINE}${LINE}` : "";
  socket.write(last);
  if (plan.repeatedAfter === undefined) return;
  const copy = written.join("") + last;
  if (plan.repeatedAfter === "next_request") {
    COPIES.set(socket, copy);
    return;
  }
  setTimeout(() => {
    if (!socket.destroyed && !MID_ANSWER.has(socket)) socket.write(copy);
  }, plan.repeatedAfter);
}
