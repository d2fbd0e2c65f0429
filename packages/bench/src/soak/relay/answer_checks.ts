import { traceCall } from "./call_trace.ts";
import type {
  CallEndRecord,
  CallRecord,
  RelayRecord,
  SendRecord,
} from "./relay_record.ts";
import { EVENTS, eventsOf } from "./soak_engine.ts";
import { SOFTWARE_VERSIONS } from "./world_size.ts";
import { plainBody } from "./soak_server.ts";

const OK = 200;
/** The software and the adapter's version that an event states. */
const EVENT_SOURCE = /^id: \d+\nevent: (\S+)\ndata: \S+ \S+ (\d+)/;

/**
 * Checks that a success is the request's own, and whole where it is framed as
 * whole.
 * @param record What was seen.
 * @param call The request.
 * @param end How it ended.
 */
export function checkAnswer(
  record: RelayRecord,
  call: CallRecord,
  end: CallEndRecord,
): void {
  if (end.status !== OK) return;
  const isStream = call.adapter !== undefined;
  const rest = isStream ? afterEvents(call, end.body) : afterBody(call, end);
  const told = `\n${traceCall(record, call)}`;
  if (rest === "wrong") {
    record.breaks("own_answer_only", told);
    return;
  }
  if (rest === "whole" || !end.isComplete) return;
  if (mayEndOpen(call, end, record.sendsOf(call.id))) return;
  record.breaks("answer_is_whole", told);
}

/** What a body is, beside the whole of what it should be. */
type BodyState = "whole" | "part" | "wrong";

function afterBody(call: CallRecord, { body }: CallEndRecord): BodyState {
  const whole = plainBody(call.id).join("");
  if (body === whole) return "whole";
  return whole.startsWith(body) ? "part" : "wrong";
}

/** Each event may come from another run, of its own version. */
function afterEvents(call: CallRecord, body: string): BodyState {
  let rest = body;
  for (let index = call.resumes?.lastEvent ?? 0; index < EVENTS; index += 1) {
    if (rest === "") return "part";
    const [, software = "", version] = EVENT_SOURCE.exec(rest) ?? [];
    const least = call.leastVersion;
    const isOld = version !== undefined && Number(version) < least;
    const source = { version: Number(version), software };
    const event = eventsOf(call.id, call.adapter ?? "", source)[index];
    if (event === undefined || isOld) return "wrong";
    if (!rest.startsWith(event)) return isPartOf(call, rest, index);
    rest = rest.slice(event.length);
  }
  return rest === "" ? "whole" : "wrong";
}

function isPartOf(call: CallRecord, rest: string, index: number): BodyState {
  const versions = Array.from({ length: 20 }, (_, version) => version + 1);
  const sources = versions.flatMap((version) =>
    SOFTWARE_VERSIONS.map((software) => ({ version, software }))
  );
  const isPart = sources.some((source) =>
    eventsOf(call.id, call.adapter ?? "", source)[index]?.startsWith(rest)
  );
  return isPart ? "part" : "wrong";
}

/**
 * An answer without a length that its server ends in order is whole to whoever
 * sees it.
 */
function mayEndOpen(
  call: CallRecord,
  end: CallEndRecord,
  sends: readonly SendRecord[],
): boolean {
  const isStream = call.adapter !== undefined;
  // A stream may end at another server than its first one, whose seal it has.
  const last = isStream
    ? sends.at(-1)
    : sends.findLast(({ server }) => server === end.seal);
  return last?.framing === "connection" && last.end === "close";
}
