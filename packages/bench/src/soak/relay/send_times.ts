import { subscribe } from "node:diagnostics_channel";

/** Numbers the sends of all nodes in this process, for {@link takeSendTimes}. */
export const SEND_HEADER = "x-send";

/** What a node did with a send, by this process's clock, in milliseconds. */
export interface SendTimes {
  /** When it was written to a connection. */
  writtenAt?: number;
  /** When the head of an answer was read from that connection. */
  answeredAt?: number;
}

const SEND_LINE = new RegExp(`^${SEND_HEADER}: (\\d+)\r$`, "m");
/** The sends that no server has read yet, by number. */
const UNREAD = new Map<string, SendTimes>();
const TIMES = new WeakMap<object, SendTimes>();
let sendCount = 0;

/** The messages of the channels of the HTTP client that nodes use. */
interface ClientMessage {
  readonly request: object;
  readonly headers?: string;
}

subscribe("undici:client:sendHeaders", (message) => {
  const { request, headers = "" } = message as ClientMessage;
  const [, number] = SEND_LINE.exec(headers) ?? [];
  const times = number === undefined ? undefined : UNREAD.get(number);
  if (times === undefined) return;
  times.writtenAt = performance.now();
  TIMES.set(request, times);
});
subscribe("undici:request:headers", (message) => {
  const { request } = message as ClientMessage;
  const times = TIMES.get(request);
  if (times !== undefined) times.answeredAt ??= performance.now();
});

/**
 * Numbers a send.
 * @returns The header that names it to its server; name and value.
 */
export function numberSend(): readonly [name: string, value: string] {
  sendCount += 1;
  const number = String(sendCount);
  UNREAD.set(number, {});
  return [SEND_HEADER, number];
}

/**
 * Returns what the node did with a send that a server has read.
 * @param number The value of the send's {@link SEND_HEADER}.
 * @returns The times, which are set as the node goes on.
 */
export function takeSendTimes(number: string): SendTimes {
  const times = UNREAD.get(number) ?? {};
  UNREAD.delete(number);
  return times;
}
