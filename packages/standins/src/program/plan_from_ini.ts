import { parse } from "ini";
import {
  PlanError,
  planStandIn,
  type RawSettings,
  STAND_IN_KINDS,
  type StandInKind,
  type StandInPlan,
} from "./plan.ts";

/**
 * Plans the stand-ins to start from an INI text. It has at most one section of
 * `[log_service]`, `[weight_store]` and `[vm_list]` each. The section names of
 * engines and servers contain their ids, as in `[engine.one]` and
 * `[service.two]`.
 * @param text The INI text.
 * @returns The plans, in the order in which they start.
 */
export function planFromIni(text: string): readonly StandInPlan[] {
  const sections = parse(text);
  for (const name of Object.keys(sections)) {
    if (isStandInKind(name)) continue;
    throw new PlanError(name, `expected one of ${STAND_IN_KINDS.join(", ")}`);
  }
  return STAND_IN_KINDS.flatMap((kind) => {
    const section: unknown = sections[kind];
    return section === undefined ? [] : planSection(kind, section);
  });
}

function planSection(
  kind: StandInKind,
  section: unknown,
): readonly StandInPlan[] {
  if (kind !== "engine" && kind !== "service") {
    return [
      planStandIn(kind, { id: kind, raw: readRawSettings(kind, section) }),
    ];
  }
  if (typeof section !== "object" || section === null) {
    throw new PlanError(kind, "expected a section");
  }
  return Object.entries(section).map(([id, settings]: [string, unknown]) =>
    planStandIn(kind, { id, raw: readRawSettings(`${kind}.${id}`, settings) })
  );
}

function readRawSettings(name: string, section: unknown): RawSettings {
  if (typeof section !== "object" || section === null) {
    throw new PlanError(name, "expected a section with an id, as [engine.one]");
  }
  const entries = Object.entries(section).map(([key, value]) =>
    [key, String(value)] as const
  );
  return Object.fromEntries(entries);
}

function isStandInKind(name: string): name is StandInKind {
  return (STAND_IN_KINDS as readonly string[]).includes(name);
}
