import type { Vm } from "@foxtailwind/edges";
import { Controller, Get, Inject } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";

/** Lists the nodes and the engines that this node knows of. */
@Controller("v1/operators")
export class MachinesController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Lists the nodes. */
  @Get("nodes")
  nodes() {
    const nodes = this.#sorted().filter((vm) => vm.role.kind === "entry");
    return {
      nodes: nodes.map((vm) => ({
        node: vm.id,
        address: vm.address,
        region: vm.region,
        failure_domain: vm.failureDomain,
        state: vm.state,
      })),
    };
  }

  /** Lists the model engines. */
  @Get("engines")
  engines() {
    return { engines: this.#sorted().flatMap(engineRows) };
  }

  #sorted(): readonly Vm[] {
    return [...this.#parts.directory.vms].sort((left, right) =>
      left.id < right.id ? -1 : 1
    );
  }
}

function engineRows(vm: Vm) {
  if (vm.role.kind !== "engine") return [];
  return [{
    engine: vm.id,
    address: vm.address,
    model: vm.role.model,
    failure_domain: vm.failureDomain,
    state: vm.state,
    checks_fencing: vm.role.checksFencing,
  }];
}
