import {
  PlanError,
  planStandIn,
  type RawSettings,
  type StandInPlan,
} from "./plan.ts";

/** The flags that select the stand-ins to start. */
export interface StandInFlags {
  readonly host: string;
  readonly seed: number;
  readonly region: string;
  readonly domains: number;
  readonly engines: number;
  /** Names of plain services. Each gets one server per failure domain. */
  readonly services: readonly string[];
  readonly logSetting: readonly string[];
  readonly storeSetting: readonly string[];
  readonly vmListSetting: readonly string[];
  readonly engineSetting: readonly string[];
  readonly serviceSetting: readonly string[];
}

/**
 * Plans the stand-ins to start from flags: one log service, weight store and
 * VM list, and engines and servers that are spread evenly over the failure
 * domains.
 * @param flags The flags.
 * @returns The plans, in the order in which they start.
 */
export function planFromFlags(flags: StandInFlags): readonly StandInPlan[] {
  const commonSettings = { host: flags.host, region: flags.region };
  const seed = String(flags.seed);
  const logSettings = {
    ...commonSettings,
    seed,
    ...parsePairs(flags.logSetting),
  };
  const storeSettings = {
    ...commonSettings,
    seed,
    ...parsePairs(flags.storeSetting),
  };
  const listSettings = {
    ...commonSettings,
    ...parsePairs(flags.vmListSetting),
  };
  return [
    planStandIn("log_service", { id: "log_service", raw: logSettings }),
    planStandIn("weight_store", { id: "weight_store", raw: storeSettings }),
    planStandIn("vm_list", { id: "vm_list", raw: listSettings }),
    ...planEngines(flags, commonSettings),
    ...planServices(flags, commonSettings),
  ];
}

function planEngines(
  flags: StandInFlags,
  commonSettings: RawSettings,
): readonly StandInPlan[] {
  return numbersFromOne(flags.engines).map((number) => {
    const raw = {
      ...commonSettings,
      seed: String(flags.seed + number),
      failure_domain: failureDomainOf(number, flags.domains),
      ...parsePairs(flags.engineSetting),
    };
    return planStandIn("engine", { id: `engine-${number}`, raw });
  });
}

function planServices(
  flags: StandInFlags,
  commonSettings: RawSettings,
): readonly StandInPlan[] {
  return flags.services.flatMap((service) =>
    numbersFromOne(flags.domains).map((number) => {
      const raw = {
        ...commonSettings,
        service,
        seed: String(flags.seed + number),
        failure_domain: failureDomainOf(number, flags.domains),
        ...parsePairs(flags.serviceSetting),
      };
      return planStandIn("service", { id: `${service}-${number}`, raw });
    })
  );
}

function numbersFromOne(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

function failureDomainOf(number: number, domains: number): string {
  return `domain-${(number - 1) % domains + 1}`;
}

function parsePairs(pairs: readonly string[]): RawSettings {
  const entries = pairs.map((pair) => {
    const separator = pair.indexOf("=");
    if (separator < 1) throw new PlanError(pair, "expected NAME=VALUE");
    return [pair.slice(0, separator), pair.slice(separator + 1)] as const;
  });
  return Object.fromEntries(entries);
}
