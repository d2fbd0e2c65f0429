import type { CallRecord, RelayRecord } from "./relay_record.ts";

/**
 * Tells all that was seen of a request, with times from its send on in
 * milliseconds.
 * @param record What was seen of the run.
 * @param call The request.
 * @returns One line for the caller, each send, and each line of the node's log.
 */
export function traceCall(record: RelayRecord, call: CallRecord): string {
  const after = (at: number | undefined) =>
    at === undefined ? "never" : String(Math.round(at - call.sentAt));
  const { node, end } = call;
  const stops = `stopped ${after(node.stoppedAt)}, cut ${after(node.cutAt)}`;
  const sends = record.sendsOf(call.id).map((send) =>
    `  ${after(send.at)} ${send.server} ${send.made} ${send.framing} ${
      send.end ?? "open"
    } ${after(send.endedAt)}`
  );
  const lines = node.lines.filter((line) =>
    line.includes(`"${call.id}"`) || line.includes("daemon: Stop")
  );
  return [
    `  ${call.id} of ${call.kind} at ${node.name} (${stops}), limit ${call.limit}`,
    `  ${after(end?.at)} ${JSON.stringify(end)}`,
    ...sends,
    ...lines.map((line) => `  ${line.trim()}`),
  ].join("\n");
}
