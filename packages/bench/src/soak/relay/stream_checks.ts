import { traceCall } from "./call_trace.ts";
import type {
  CallRecord,
  NodeRunRecord,
  RelayRecord,
  ResumedStream,
} from "./relay_record.ts";
import { EVENTS } from "./soak_engine.ts";
import { ENGINES } from "./soak_configuration.ts";

/** The most streams that may hold events of two software versions. */
const MOST_MIXED_STREAMS = 2;
/** Fewer resumptions than this say nothing of their share. */
const FEWEST_RESUMPTIONS = 12;
/** Resumed streams go on at least at this share of what new ones begin. */
const REQUIRED_SHARE = 0.5;
/** A node is in touch after so long without a disruption, in milliseconds. */
const CONTACT_MILLISECONDS = 1_000;
/** Servers of the same software that have to serve. */
const FEWEST_SERVERS = 2;
const WHOLE_EVENT = /id: (\d+)\nevent: (\S+)\ndata: [^\n]*\n\n/g;

/** Counts of streams that began, or went on, of those that should. */
export interface StreamShares {
  readonly begun: number;
  readonly asked: number;
  readonly continued: number;
  readonly resumed: number;
  /** Streams that hold events of two software versions. */
  readonly mixed: number;
}

/**
 * Describes what a caller has of a stream after an attempt that broke off.
 * @param call The attempt.
 * @param before What the caller had before it, if anything.
 * @returns What it has, or `undefined` without an event or with all of them.
 */
export function resumedStream(
  call: CallRecord,
  before: ResumedStream | undefined,
): ResumedStream | undefined {
  const events = eventsIn(call);
  const last = events.at(-1);
  if (last === undefined) return before;
  if (last.id >= EVENTS) return undefined;
  const software = events.map((event) => event.software);
  return {
    attempt: before?.attempt ?? call.id,
    lastEvent: last.id,
    software: [...before?.software ?? [], ...software],
  };
}

/**
 * Checks that no stream goes on at another software version, and that resumed
 * streams go on.
 * @param record What callers and servers saw; takes what is broken.
 */
export function checkSoftware(record: RelayRecord): void {
  const mixed = record.calls.filter(isMixed);
  if (mixed.length > MOST_MIXED_STREAMS) {
    record.breaks(
      "streams_keep_their_software",
      `${mixed.length} streams:\n${
        mixed.map((call) => traceCall(record, call)).join("\n")
      }`,
    );
  }
  checkShares(record, countShares([record]));
}

/**
 * Counts the streams of several runs, for a share of more of them.
 * @param records What was seen of each run.
 * @returns The counts, at nodes in touch and while two servers could continue.
 */
export function countShares(records: readonly RelayRecord[]): StreamShares {
  const shares = { begun: 0, asked: 0, continued: 0, resumed: 0, mixed: 0 };
  for (const record of records) {
    shares.mixed += record.calls.filter(isMixed).length;
    for (const call of record.calls) {
      if (call.kind !== "notes" || !isInTouch(call)) continue;
      const hasEvents = eventsIn(call).length > 0;
      const { resumes } = call;
      if (resumes === undefined) {
        shares.asked += 1;
        if (hasEvents) shares.begun += 1;
      } else if (canContinue(record, call, resumes)) {
        shares.resumed += 1;
        if (hasEvents) shares.continued += 1;
      }
    }
  }
  return shares;
}

/**
 * Checks the share of resumed streams that go on.
 * @param record Takes what is broken.
 * @param shares The counts.
 */
export function checkShares(record: RelayRecord, shares: StreamShares): void {
  const { begun, asked, continued, resumed } = shares;
  if (resumed < FEWEST_RESUMPTIONS || asked === 0) return;
  if (continued / resumed >= REQUIRED_SHARE * begun / asked) return;
  record.breaks("resumed_streams_go_on", JSON.stringify(shares));
}

interface ReadEvent {
  readonly id: number;
  readonly software: string;
}

function eventsIn({ adapter, end }: CallRecord): readonly ReadEvent[] {
  if (adapter === undefined || end === undefined) return [];
  return [...end.body.matchAll(WHOLE_EVENT)].map(([, id, software = ""]) => ({
    id: Number(id),
    software,
  }));
}

function isMixed(call: CallRecord): boolean {
  const software = eventsIn(call).map((event) => event.software);
  return new Set([...software, ...call.resumes?.software ?? []]).size > 1;
}

/** Whether the node of a call was free of disruptions until its end. */
function isInTouch(call: CallRecord): boolean {
  const { node, sentAt } = call;
  const end = call.end?.at ?? Infinity;
  const since = sentAt - CONTACT_MILLISECONDS;
  return node.startedAt < since && !isDisrupted(node, since, end);
}

function isDisrupted(node: NodeRunRecord, from: number, to: number): boolean {
  const ends = [node.cutAt, node.stoppedAt];
  return ends.some((at) => at !== undefined && at < to) ||
    [...node.lostServersAt, ...node.lostPeersAt].some((at) =>
      at > from - LOST_MILLISECONDS && at < to
    ) ||
    node.outages.some((outage) =>
      outage.from < to && (outage.to ?? Infinity) > from
    );
}

/** The longest time for which a node reaches no server, in milliseconds. */
const LOST_MILLISECONDS = 4_000;

/** Whether enough servers of the stream's software served all the while. */
function canContinue(
  record: RelayRecord,
  call: CallRecord,
  { software }: ResumedStream,
): boolean {
  const end = call.end?.at ?? Infinity;
  const servers = record.servingTimes.filter((time) =>
    time.service === ENGINES && time.software === software[0] &&
    time.from < call.sentAt - CONTACT_MILLISECONDS &&
    (time.to ?? Infinity) > end
  );
  return servers.length >= FEWEST_SERVERS;
}
