import type { Vm } from "@foxtailwind/edges";
import { Controller, Get, Inject } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";

/** Lists the nodes and engines in this node's VM list. */
@Controller("v1/operators")
export class VmsController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Lists the nodes, sorted by id. */
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

  /** Lists the model engines, sorted by id. */
  @Get("engines")
  engines() {
    return { engines: this.#sorted().flatMap(toEngineRows) };
  }

  #sorted(): readonly Vm[] {
    return [...this.#parts.directory.vms].sort((left, right) =>
      left.id < right.id ? -1 : 1
    );
  }
}

function toEngineRows(vm: Vm) {
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
