import * as z from "zod";
import {
  type FakeEngineSettings,
  fakeEngineSettingsSchema,
} from "../engine/settings.ts";
import {
  type FakeLogServiceSettings,
  fakeLogServiceSettingsSchema,
} from "../log_service/settings.ts";
import {
  type FakePlainServiceSettings,
  fakePlainServiceSettingsSchema,
} from "../plain_service/fake_plain_service.ts";
import {
  type FakeVmListSettings,
  fakeVmListSettingsSchema,
} from "../vm_list/fake_vm_list.ts";
import {
  type FakeWeightStoreSettings,
  fakeWeightStoreSettingsSchema,
} from "../weight_store/settings.ts";

const placementSchema = z.object({
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(0),
  region: z.string().min(1).default("region-1"),
  failureDomain: z.string().min(1).default("domain-1"),
  /** The plain service that a server belongs to. */
  service: z.string().min(1).default("service"),
});

/** Where a stand-in listens, and what the VM list says of it. */
export type Placement = Readonly<z.infer<typeof placementSchema>>;

interface Planned<Kind extends string, Settings> {
  readonly kind: Kind;
  readonly id: string;
  readonly placement: Placement;
  readonly settings: Settings;
}

/** One stand-in that the program starts. */
export type StandInPlan =
  | Planned<"log_service", FakeLogServiceSettings>
  | Planned<"weight_store", FakeWeightStoreSettings>
  | Planned<"vm_list", FakeVmListSettings>
  | Planned<"engine", FakeEngineSettings>
  | Planned<"service", FakePlainServiceSettings>;

/** The kinds of stand-ins, in the order in which they start. */
export const STAND_IN_KINDS = [
  "log_service",
  "weight_store",
  "vm_list",
  "engine",
  "service",
] as const;

/** A kind of stand-in. */
export type StandInKind = (typeof STAND_IN_KINDS)[number];

/** The settings of one stand-in as they were given: all are strings. */
export type RawSettings = Readonly<Record<string, string>>;

/** Settings of a stand-in that cannot be used. */
export class PlanError extends Error {
  constructor(section: string, detail: string) {
    super(`Cannot use the settings of "${section}": ${detail}`);
    this.name = "PlanError";
  }
}

/**
 * Checks the settings of one stand-in.
 * @param kind What it takes the place of.
 * @param id Its id.
 * @param raw Its settings in snake_case, those of its placement included.
 * @returns The plan.
 */
export function planStandIn(
  kind: StandInKind,
  { id, raw }: { readonly id: string; readonly raw: RawSettings },
): StandInPlan {
  const named = Object.entries(raw).map(([name, text]) =>
    [toCamelCase(name), readValue(text)] as const
  );
  const placed = named.filter(([name]) => name in placementSchema.shape);
  const own = named.filter(([name]) => !(name in placementSchema.shape));
  try {
    const placement = placementSchema.parse(Object.fromEntries(placed));
    return planKind(kind, { id, placement, raw: Object.fromEntries(own) });
  } catch (error) {
    if (!(error instanceof z.ZodError)) throw error;
    throw new PlanError(id, z.prettifyError(error));
  }
}

function planKind(
  kind: StandInKind,
  { id, placement, raw }: {
    readonly id: string;
    readonly placement: Placement;
    readonly raw: object;
  },
): StandInPlan {
  switch (kind) {
    case "log_service": {
      const settings = fakeLogServiceSettingsSchema.parse(raw);
      return { kind, id, placement, settings };
    }
    case "weight_store": {
      const settings = fakeWeightStoreSettingsSchema.parse(raw);
      return { kind, id, placement, settings };
    }
    case "vm_list": {
      const settings = fakeVmListSettingsSchema.parse(raw);
      return { kind, id, placement, settings };
    }
    case "engine": {
      const settings = fakeEngineSettingsSchema.parse({ id, ...raw });
      return { kind, id, placement, settings };
    }
    case "service": {
      const settings = fakePlainServiceSettingsSchema.parse({ id, ...raw });
      return { kind, id, placement, settings };
    }
  }
}

function toCamelCase(name: string): string {
  return name.replace(/_([a-z])/g, (_match, letter: string) => {
    return letter.toUpperCase();
  });
}

function readValue(text: string): string | number | boolean {
  if (text === "true") return true;
  if (text === "false") return false;
  const value = Number(text);
  return text.trim() === "" || Number.isNaN(value) ? text : value;
}
