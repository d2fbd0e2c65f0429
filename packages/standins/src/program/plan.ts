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
  /** The plain service to which the server belongs. */
  service: z.string().min(1).default("service"),
});

/** The address of a stand-in and its location in the VM list. */
export type Placement = Readonly<z.infer<typeof placementSchema>>;

interface PlanOf<Kind extends string, Settings> {
  readonly kind: Kind;
  readonly id: string;
  readonly placement: Placement;
  readonly settings: Settings;
}

/** The plan of one stand-in to start. */
export type StandInPlan =
  | PlanOf<"log_service", FakeLogServiceSettings>
  | PlanOf<"weight_store", FakeWeightStoreSettings>
  | PlanOf<"vm_list", FakeVmListSettings>
  | PlanOf<"engine", FakeEngineSettings>
  | PlanOf<"service", FakePlainServiceSettings>;

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

/** The settings of one stand-in before parsing: all values are strings. */
export type RawSettings = Readonly<Record<string, string>>;

/** Thrown for invalid settings of a stand-in. */
export class PlanError extends Error {
  constructor(section: string, detail: string) {
    super(`Cannot use the settings of "${section}": ${detail}`);
    this.name = "PlanError";
  }
}

/**
 * Parses the settings of one stand-in.
 * @param kind The kind of the stand-in.
 * @param id The id of the stand-in.
 * @param raw Its settings in snake_case, including those of its placement.
 * @returns The plan.
 */
export function planStandIn(
  kind: StandInKind,
  { id, raw }: { readonly id: string; readonly raw: RawSettings },
): StandInPlan {
  const entries = Object.entries(raw).map(([name, text]) =>
    [toCamelCase(name), parseValue(text)] as const
  );
  const placementEntries = entries.filter(([name]) =>
    name in placementSchema.shape
  );
  const settingEntries = entries.filter(([name]) =>
    !(name in placementSchema.shape)
  );
  try {
    const placement = placementSchema.parse(
      Object.fromEntries(placementEntries),
    );
    return parsePlan(kind, {
      id,
      placement,
      raw: Object.fromEntries(settingEntries),
    });
  } catch (error) {
    if (!(error instanceof z.ZodError)) throw error;
    throw new PlanError(id, z.prettifyError(error));
  }
}

function parsePlan(
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

function parseValue(text: string): string | number | boolean {
  if (text === "true") return true;
  if (text === "false") return false;
  const value = Number(text);
  return text.trim() === "" || Number.isNaN(value) ? text : value;
}
