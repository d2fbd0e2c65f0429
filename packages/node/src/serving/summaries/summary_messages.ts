import {
  adapterKey,
  type AdapterStanding,
  type AdapterWithStanding,
  engineId,
  type EngineSummary,
  milliseconds,
  type TargetCount,
} from "@foxtailwind/core";
import {
  type AdapterChange,
  type ClassLoad,
  type EngineSummary as SummaryMessage,
  Standing,
} from "@foxtailwind/protocol";
import {
  fromLoadedAdapter,
  toLoadedAdapter,
} from "../permits/permit_messages.ts";

/**
 * Converts a summary to a message.
 * @param summary The summary.
 * @param changes The adapters whose standing changed.
 * @param whole Whether the changes list all adapters.
 * @returns The message.
 */
export function toSummaryMessage(
  summary: EngineSummary,
  changes: readonly AdapterWithStanding[],
  whole: boolean,
): SummaryMessage {
  return {
    engine: summary.engine,
    whole,
    released: false,
    changes: changes.map(toChange),
    weight: summary.weight,
    firstTokenMilliseconds: summary.firstTokenTime,
    serviceMilliseconds: summary.serviceTime,
    batchCapacity: summary.batchCapacity,
    places: summary.places,
    running: summary.running,
    awaitedAdapters: summary.awaitedAdapters,
    canMakeRoom: summary.canMakeRoom,
    classes: toClassLoads(summary),
  };
}

/**
 * Reads a summary from a message.
 * @param message The message.
 * @returns The summary.
 */
export function fromSummaryMessage(message: SummaryMessage): EngineSummary {
  return {
    engine: engineId(message.engine),
    weight: message.weight,
    firstTokenTime: milliseconds(message.firstTokenMilliseconds),
    serviceTime: milliseconds(message.serviceMilliseconds),
    batchCapacity: message.batchCapacity,
    places: message.places,
    running: message.running,
    awaitedAdapters: message.awaitedAdapters,
    canMakeRoom: message.canMakeRoom,
    ready: targetCountsOf(message.classes, (entry) => entry.ready),
    blocked: targetCountsOf(message.classes, (entry) => entry.blocked),
    runningByTarget: targetCountsOf(message.classes, (entry) => entry.running),
  };
}

/**
 * Reads the changed adapters from a message.
 * @param message The message.
 * @returns The adapters and their standing.
 */
export function changesOf(
  message: SummaryMessage,
): readonly AdapterWithStanding[] {
  return message.changes.map((change) => {
    const adapter = fromLoadedAdapter(change.adapter);
    const standing = fromStanding(change.standing);
    return { key: adapterKey(adapter), adapter, standing };
  });
}

function toChange(changed: AdapterWithStanding): AdapterChange {
  return {
    adapter: toLoadedAdapter(changed.adapter),
    standing: toStanding(changed.standing),
  };
}

function toStanding(standing: AdapterStanding): Standing {
  switch (standing) {
    case "absent":
      return Standing.STANDING_ABSENT;
    case "awaited":
      return Standing.STANDING_AWAITED;
    case "loading":
      return Standing.STANDING_LOADING;
    case "resident":
      return Standing.STANDING_RESIDENT;
  }
}

function fromStanding(standing: Standing): AdapterStanding {
  switch (standing) {
    case Standing.STANDING_AWAITED:
      return "awaited";
    case Standing.STANDING_LOADING:
      return "loading";
    case Standing.STANDING_RESIDENT:
      return "resident";
    case Standing.STANDING_ABSENT:
    case Standing.STANDING_UNSPECIFIED:
    case Standing.UNRECOGNIZED:
      return "absent";
  }
}

function toClassLoads(summary: EngineSummary): ClassLoad[] {
  const byTarget = new Map<number, ClassLoad>();
  function count(
    loads: readonly TargetCount[],
    place: "ready" | "blocked" | "running",
  ): void {
    for (const { target, count } of loads) {
      const entry = byTarget.get(target) ?? {
        targetMilliseconds: target,
        ready: 0,
        blocked: 0,
        running: 0,
      };
      entry[place] += count;
      byTarget.set(target, entry);
    }
  }
  count(summary.ready, "ready");
  count(summary.blocked, "blocked");
  count(summary.runningByTarget, "running");
  return [...byTarget.values()];
}

function targetCountsOf(
  classes: readonly ClassLoad[],
  countOf: (entry: ClassLoad) => number,
): readonly TargetCount[] {
  return classes.map((entry) => ({
    target: milliseconds(entry.targetMilliseconds),
    count: countOf(entry),
  }));
}
