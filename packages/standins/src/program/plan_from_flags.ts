import {
  PlanError,
  planStandIn,
  type RawSettings,
  type StandInPlan,
} from "./plan.ts";

/** The flags that say which stand-ins to start. */
export interface StandInFlags {
  readonly host: string;
  readonly seed: number;
  readonly region: string;
  readonly domains: number;
  readonly engines: number;
  /** Names of plain services; one server of each in each failure domain. */
  readonly services: readonly string[];
  readonly logSetting: readonly string[];
  readonly storeSetting: readonly string[];
  readonly vmListSetting: readonly string[];
  readonly engineSetting: readonly string[];
  readonly serviceSetting: readonly string[];
}

/**
 * Works out which stand-ins to start from flags: the platform's three, and
 * engines and servers spread evenly over the failure domains.
 * @param flags The flags.
 * @returns The plans, in the order in which they start.
 */
export function planFromFlags(flags: StandInFlags): readonly StandInPlan[] {
  const base = { host: flags.host, region: flags.region };
  const seed = String(flags.seed);
  const logSettings = { ...base, seed, ...readPairs(flags.logSetting) };
  const storeSettings = { ...base, seed, ...readPairs(flags.storeSetting) };
  const listSettings = { ...base, ...readPairs(flags.vmListSetting) };
  return [
    planStandIn("log_service", { id: "log_service", raw: logSettings }),
    planStandIn("weight_store", { id: "weight_store", raw: storeSettings }),
    planStandIn("vm_list", { id: "vm_list", raw: listSettings }),
    ...planEngines(flags, base),
    ...planServices(flags, base),
  ];
}

function planEngines(
  flags: StandInFlags,
  base: RawSettings,
): readonly StandInPlan[] {
  return countFromOne(flags.engines).map((number) => {
    const raw = {
      ...base,
      seed: String(flags.seed + number),
      failure_domain: domainOf(number, flags.domains),
      ...readPairs(flags.engineSetting),
    };
    return planStandIn("engine", { id: `engine-${number}`, raw });
  });
}

function planServices(
  flags: StandInFlags,
  base: RawSettings,
): readonly StandInPlan[] {
  return flags.services.flatMap((service) =>
    countFromOne(flags.domains).map((number) => {
      const raw = {
        ...base,
        service,
        seed: String(flags.seed + number),
        failure_domain: domainOf(number, flags.domains),
        ...readPairs(flags.serviceSetting),
      };
      return planStandIn("service", { id: `${service}-${number}`, raw });
    })
  );
}

function countFromOne(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

function domainOf(number: number, domains: number): string {
  return `domain-${(number - 1) % domains + 1}`;
}

function readPairs(pairs: readonly string[]): RawSettings {
  const entries = pairs.map((pair) => {
    const middle = pair.indexOf("=");
    if (middle < 1) throw new PlanError(pair, "expected NAME=VALUE");
    return [pair.slice(0, middle), pair.slice(middle + 1)] as const;
  });
  return Object.fromEntries(entries);
}
