import type { StandInProcess } from "../demo/stand_in_process.ts";
import { postJson } from "../demo/stand_in_process.ts";

/** What an engine stand-in is started with. */
export interface EnginePlan {
  readonly id: string;
  readonly failureDomain: string;
  /** `http://` addresses. */
  readonly weightStore: string;
  readonly vmList: string;
  readonly adapterSlots: number;
  readonly checksFencing: boolean;
  /** The settings file's path, written by the caller of {@link start}. */
  readonly file: string;
}

/** An engine stand-in as a process of its own, which may be killed. */
export class EngineProcess {
  readonly plan: EnginePlan;
  readonly standIn: StandInProcess;

  constructor(plan: EnginePlan, standIn: StandInProcess) {
    this.plan = plan;
    this.standIn = standIn;
  }

  /** `http://` address of the engine. */
  get address(): string {
    return this.standIn.addressOf("engine");
  }

  /** Lists the engine as a live VM. */
  async list(): Promise<void> {
    await postJson(`${this.plan.vmList}/standin/vms`, {
      vms: [{
        id: this.plan.id,
        address: new URL(this.address).host,
        region: "region-1",
        failureDomain: this.plan.failureDomain,
        role: {
          kind: "engine",
          model: "base",
          checksFencing: this.plan.checksFencing,
        },
        state: "live",
      }],
    });
  }
}

/**
 * Writes the settings of an engine stand-in's program.
 * @param plan The engine.
 * @param port Its port; 0 takes a free one.
 * @returns INI.
 */
export function engineSettingsText(plan: EnginePlan, port: number): string {
  return `[engine.${plan.id}]
port = ${port}
failure_domain = ${plan.failureDomain}
weight_store_address = ${plan.weightStore}
adapter_slots = ${plan.adapterSlots}
checks_fencing = ${plan.checksFencing}
load_milliseconds = 5
`;
}
