import type { Vm, VmListClient } from "@foxtailwind/edges";
import type { ComponentLogger } from "../logging/component_logger.ts";

const POLL_MILLISECONDS = 500;

/** A VM with a statically known role. */
export type VmOfRole<Kind extends Vm["role"]["kind"]> = Vm & {
  readonly role: Extract<Vm["role"], { readonly kind: Kind }>;
};

/** Polls the platform's VM list and caches the latest one. */
export class VmDirectory {
  readonly #client: VmListClient;
  readonly #logger: ComponentLogger;
  readonly #listeners: (() => void)[] = [];
  /** VMs that have announced that they are leaving. */
  readonly #leavingIds = new Set<string>();
  #vms: readonly Vm[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(client: VmListClient, logger: ComponentLogger) {
    this.#client = client;
    this.#logger = logger;
  }

  /** The latest known VMs. */
  get vms(): readonly Vm[] {
    return this.#vms;
  }

  /** Registers a listener, called after each update of the list. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Lists the live VMs of one role, which accept new work.
   * @param kind The role.
   * @returns The live VMs.
   */
  live<Kind extends Vm["role"]["kind"]>(
    kind: Kind,
  ): readonly VmOfRole<Kind>[] {
    return this.#vms.filter((vm): vm is VmOfRole<Kind> =>
      vm.role.kind === kind && vm.state === "live"
    );
  }

  /** Polls the list until {@link stop}. */
  async start(): Promise<void> {
    await this.refresh();
    this.#timer = setInterval(() => void this.refresh(), POLL_MILLISECONDS);
  }

  /** Reads the list once. */
  async refresh(): Promise<void> {
    const list = await this.#client.read();
    if (list.isErr()) {
      this.#logger.warn("Failed to read the VM list.", {
        peer: list.error.peer,
        step: list.error.step,
      });
      return;
    }
    this.#removeStaleMarks(list.value);
    this.#update(list.value);
  }

  /**
   * Marks a VM as leaving because it announced so itself, before the list may
   * show it. The mark holds until the VM disappears from the list.
   * @param id The VM.
   */
  markLeaving(id: string): void {
    if (this.#leavingIds.has(id)) return;
    this.#leavingIds.add(id);
    this.#update(this.#vms);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #removeStaleMarks(listed: readonly Vm[]): void {
    const listedIds = new Set(listed.map((vm) => vm.id));
    for (const id of this.#leavingIds) {
      if (!listedIds.has(id)) this.#leavingIds.delete(id);
    }
  }

  #update(vms: readonly Vm[]): void {
    this.#vms = vms.map((vm) =>
      this.#leavingIds.has(vm.id) ? { ...vm, state: "leaving" } : vm
    );
    for (const listener of this.#listeners) listener();
  }
}
