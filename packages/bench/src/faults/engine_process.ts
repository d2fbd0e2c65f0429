import type { StandInProcess } from "../demo/stand_in_process.ts";
import { postJson } from "../demo/stand_in_process.ts";

/** Settings of an engine stand-in. */
export interface EnginePlan {
  readonly id: string;
  readonly failureDomain: string;
  /** `http://` addresses. */
  readonly weightStore: string;
  readonly vmList: string;
  readonly adapterSlots: number;
  readonly checksFencing: boolean;
  /** Path of the settings file, which whoever starts the engine writes. */
  readonly settingsFile: string;
}

/** An engine stand-in in a separate process, which may be killed. */
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

  /** Adds the engine to the VM list as a live VM. */
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
 * Formats the settings file of an engine stand-in.
 * @param plan The engine's settings.
 * @param port The port to listen on; 0 selects a free one.
 * @returns The settings in INI format.
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
