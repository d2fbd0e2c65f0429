import {
  hasRun,
  type NodeRunRecord,
  type RelayRecord,
} from "../relay_record.ts";
import { COMMON_PART, CRASHING_PART } from "./part_script.ts";

/** The crashes from which nodes must know the part. */
const KNOWN_CRASHES = 5;
/** The time that nodes have to learn the part; twice it for sound requests. */
const LEARNING_MILLISECONDS = 3_000;
/** The requests with the part that may be sent after that time. */
const MOST_LATE_SENDS = 3;
/** Fewer sound requests than this say nothing of their share. */
const FEWEST_SHARING = 20;
/** The share of sound requests that must begin. */
const REQUIRED_SHARE = 0.5;

/** Counts of requests after the part had to be known. */
export interface PartCounts {
  readonly crashes: number;
  readonly lateSends: number;
  /** Sound requests that share the first part. */
  readonly sharing: number;
  readonly sharingBegun: number;
}

/**
 * Checks that requests with a part that crashes engines are sent to no further
 * ones, and that sound requests with the same first part begin.
 * @param record What callers and servers saw; takes what is broken.
 */
export function checkParts(record: RelayRecord): void {
  const counts = countParts(record);
  const { lateSends, sharing, sharingBegun } = counts;
  if (lateSends > MOST_LATE_SENDS) {
    record.breaks("crashing_parts_are_refused", JSON.stringify(counts));
  }
  if (sharing >= FEWEST_SHARING && sharingBegun < REQUIRED_SHARE * sharing) {
    record.breaks("sound_parts_are_served", JSON.stringify(counts));
  }
}

/**
 * Counts requests at nodes in touch after the part had to be known.
 * @param record What callers and servers saw.
 * @returns The counts.
 */
export function countParts(record: RelayRecord): PartCounts {
  const crashes = record.partCrashes;
  const knownAt = crashes[KNOWN_CRASHES - 1] ?? crashes.at(-1) ?? Infinity;
  const isFifth = crashes.length >= KNOWN_CRASHES;
  const calls = new Map(record.calls.map((call) => [call.id, call]));
  const lateSends = record.sends.filter((send) => {
    const call = calls.get(send.request);
    const node = record.nodeRuns.get(send.sentBy);
    return isFifth && hasRun(send) && node !== undefined &&
      call?.sharedParts?.includes(CRASHING_PART) === true &&
      send.at > knownAt + LEARNING_MILLISECONDS && isInTouch(node, send.at);
  });
  const sharing = record.calls.filter(({ node, sentAt, sharedParts }) =>
    sharedParts?.[0] === COMMON_PART &&
    !sharedParts.includes(CRASHING_PART) &&
    sentAt > knownAt + 2 * LEARNING_MILLISECONDS && isInTouch(node, sentAt)
  );
  return {
    crashes: crashes.length,
    lateSends: lateSends.length,
    sharing: sharing.length,
    sharingBegun:
      sharing.filter(({ id }) => record.sendsOf(id).some(hasRun)).length,
  };
}

/** Whether nothing had disrupted a node for a while. */
function isInTouch(node: NodeRunRecord, at: number): boolean {
  const since = at - LEARNING_MILLISECONDS;
  const ends = [node.cutAt, node.stoppedAt];
  return node.startedAt < since &&
    !ends.some((one) => one !== undefined && one < at) &&
    !node.lostPeersAt.some((one) => one > since && one < at) &&
    !node.outages.some(({ from, to }) => from < at && (to ?? Infinity) > since);
}
