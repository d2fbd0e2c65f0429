import type { Vm, VmListClient } from "@foxtailwind/edges";
import type { PartLogger } from "../logging/part_logger.ts";

const POLL_MILLISECONDS = 500;

/** A VM that serves with one known role. */
export type VmOfRole<Kind extends Vm["role"]["kind"]> = Vm & {
  readonly role: Extract<Vm["role"], { readonly kind: Kind }>;
};

/** Keeps the latest VM list that the platform gave. */
export class VmDirectory {
  readonly #client: VmListClient;
  readonly #logger: PartLogger;
  readonly #listeners: (() => void)[] = [];
  #vms: readonly Vm[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(client: VmListClient, logger: PartLogger) {
    this.#client = client;
    this.#logger = logger;
  }

  /** The VMs as last known. */
  get vms(): readonly Vm[] {
    return this.#vms;
  }

  /** Calls back after each change of the list. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Lists the VMs of one role that take new work.
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

  /** Reads the list now and then until {@link stop}. */
  async start(): Promise<void> {
    await this.refresh();
    this.#timer = setInterval(() => void this.refresh(), POLL_MILLISECONDS);
  }

  /** Reads the list once. */
  async refresh(): Promise<void> {
    const list = await this.#client.read();
    if (list.isErr()) {
      this.#logger.warn("The VM list did not answer.", {
        peer: list.error.peer,
        step: list.error.step,
      });
      return;
    }
    this.#vms = list.value;
    for (const listener of this.#listeners) listener();
  }

  /** Stops reading. */
  stop(): void {
    clearInterval(this.#timer);
  }
}
