import { type Vm, vmListSchema, vmSchema } from "@foxtailwind/edges";
import * as z from "zod";
import { commonFaults } from "../shared/common_faults.ts";
import { parseInput } from "../shared/parse_input.ts";
import { sendRefusal } from "../shared/refusal.ts";
import { StandIn } from "../shared/stand_in.ts";

/** The settings of a VM list stand-in. */
export const fakeVmListSettingsSchema = z.strictObject({
  /** The time after which a change becomes visible. */
  lagMilliseconds: z.number().nonnegative().default(0),
});

/** The settings of a VM list stand-in. */
export type FakeVmListSettings = Readonly<
  z.infer<typeof fakeVmListSettingsSchema>
>;

/** The faults of a VM list stand-in. */
export const fakeVmListFaultsSchema = z.strictObject({
  ...commonFaults,
  /** Whether changes stay invisible until this fault ends. */
  stale: z.boolean().default(false),
});

/** The faults of a VM list stand-in. */
export type FakeVmListFaults = Readonly<z.infer<typeof fakeVmListFaultsSchema>>;

/** Counters of a VM list stand-in. */
export interface FakeVmListCounters {
  readonly reads: number;
  readonly entries: number;
}

interface ListVersion {
  readonly vms: ReadonlyMap<string, Vm>;
  readonly changedAt: number;
}

/** A stand-in for the platform's list of live and leaving VMs. */
export class FakeVmList extends StandIn<FakeVmListFaults> {
  readonly #settings: FakeVmListSettings;
  /** The visible version, followed by those that are not visible yet. */
  #versions: readonly ListVersion[] = [{
    vms: new Map(),
    changedAt: -Infinity,
  }];
  #reads = 0;

  /** @param settings Overrides of the default settings. */
  constructor(settings: Partial<FakeVmListSettings> = {}) {
    super(fakeVmListFaultsSchema);
    this.#settings = fakeVmListSettingsSchema.parse(settings);
    this.application.get("/v1/vms", () => {
      this.#reads += 1;
      return { vms: this.readVisible(performance.now()) };
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
   * Sets an entry. The change becomes visible after the lag.
   * @param vm The entry, which replaces the one with the same id.
   */
  setVm(vm: Vm): void {
    this.#addVersion((vms) => vms.set(vm.id, vm));
  }

  /**
   * Removes an entry. The change becomes visible after the lag.
   * @param id The entry's id.
   */
  removeVm(id: string): void {
    this.#addVersion((vms) => vms.delete(id));
  }

  /**
   * Reads the entries that are visible to callers.
   * @param now A reading of the process's monotonic clock in milliseconds.
   * @returns The entries.
   */
  readVisible(now: number): readonly Vm[] {
    if (!this.faults.stale) {
      const latestVisible = now - this.#settings.lagMilliseconds;
      const visibleIndex = this.#versions.findLastIndex(({ changedAt }) =>
        changedAt <= latestVisible
      );
      this.#versions = this.#versions.slice(Math.max(0, visibleIndex));
    }
    return [...this.#versions[0]?.vms.values() ?? []];
  }

  override readCounters(): FakeVmListCounters {
    return {
      reads: this.#reads,
      entries: this.#versions.at(-1)?.vms.size ?? 0,
    };
  }

  #addVersion(edit: (vms: Map<string, Vm>) => unknown): void {
    const vms = new Map(this.#versions.at(-1)?.vms);
    edit(vms);
    const version = { vms, changedAt: performance.now() };
    this.#versions = [...this.#versions, version];
  }
}
