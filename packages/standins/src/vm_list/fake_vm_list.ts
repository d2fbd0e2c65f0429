import { type Vm, vmListSchema, vmSchema } from "@foxtailwind/edges";
import * as z from "zod";
import { commonFaults } from "../shared/common_faults.ts";
import { parseInput } from "../shared/parse_input.ts";
import { sendRefusal } from "../shared/refusal.ts";
import { StandIn } from "../shared/stand_in.ts";

/** The settings of a VM list stand-in. */
export const fakeVmListSettingsSchema = z.strictObject({
  /** How long after a change the list shows it. */
  lagMilliseconds: z.number().nonnegative().default(0),
});

/** The settings of a VM list stand-in. */
export type FakeVmListSettings = Readonly<
  z.infer<typeof fakeVmListSettingsSchema>
>;

/** The faults of a VM list stand-in. */
export const fakeVmListFaultsSchema = z.strictObject({
  ...commonFaults,
  /** The list shows no change from now on. */
  stale: z.boolean().default(false),
});

/** The faults of a VM list stand-in. */
export type FakeVmListFaults = Readonly<z.infer<typeof fakeVmListFaultsSchema>>;

/** What a VM list stand-in counted. */
export interface FakeVmListCounters {
  readonly reads: number;
  readonly entries: number;
}

interface Version {
  readonly vms: ReadonlyMap<string, Vm>;
  readonly changedAt: number;
}

/** Takes the place of the platform's list of live and leaving VMs. */
export class FakeVmList extends StandIn<FakeVmListFaults> {
  readonly #settings: FakeVmListSettings;
  /** The shown version first, then those that are yet to show. */
  #versions: readonly Version[] = [{ vms: new Map(), changedAt: -Infinity }];
  #reads = 0;

  /** @param settings Settings that differ from the defaults. */
  constructor(settings: Partial<FakeVmListSettings> = {}) {
    super(fakeVmListFaultsSchema);
    this.#settings = fakeVmListSettingsSchema.parse(settings);
    this.application.get("/v1/vms", () => {
      this.#reads += 1;
      return { vms: this.readShown(performance.now()) };
    });
    this.application.post("/standin/vms", (request, reply) => {
      const body = parseInput(vmListSchema, request.body);
      if (body.isErr()) return sendRefusal(reply, body.error);
      for (const vm of body.value.vms) this.setVm(vm);
      return { set: body.value.vms.length };
    });
    this.application.delete("/standin/vms/:id", (request, reply) => {
      const parameters = parseInput(
        vmSchema.pick({ id: true }),
        request.params,
      );
      if (parameters.isErr()) return sendRefusal(reply, parameters.error);
      this.removeVm(parameters.value.id);
      return { removed: parameters.value.id };
    });
  }

  /**
   * Sets an entry, which shows after the lag.
   * @param vm The entry; it replaces one with the same id.
   */
  setVm(vm: Vm): void {
    this.#change((vms) => vms.set(vm.id, vm));
  }

  /**
   * Removes an entry, which shows after the lag.
   * @param id The entry's id.
   */
  removeVm(id: string): void {
    this.#change((vms) => vms.delete(id));
  }

  /**
   * Reads the list as callers see it.
   * @param now Milliseconds of the process's steady clock.
   * @returns The entries.
   */
  readShown(now: number): readonly Vm[] {
    if (!this.faults.stale) {
      const latestShown = now - this.#settings.lagMilliseconds;
      const shown = this.#versions.findLastIndex(({ changedAt }) =>
        changedAt <= latestShown
      );
      this.#versions = this.#versions.slice(Math.max(0, shown));
    }
    return [...this.#versions[0]?.vms.values() ?? []];
  }

  override readCounters(): FakeVmListCounters {
    return {
      reads: this.#reads,
      entries: this.#versions.at(-1)?.vms.size ?? 0,
    };
  }

  #change(edit: (vms: Map<string, Vm>) => unknown): void {
    const vms = new Map(this.#versions.at(-1)?.vms);
    edit(vms);
    const version = { vms, changedAt: performance.now() };
    this.#versions = [...this.#versions, version];
  }
}
