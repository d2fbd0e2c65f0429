import {
  type AddressAnswer,
  type AddressCandidate,
  type AddressQuery,
  chooseAddresses,
  type Duration,
  type NodeId,
  nodeId,
  randomSource,
} from "@foxtailwind/core";
import type { Vm } from "@foxtailwind/edges";
import { randomInt } from "node:crypto";
import type { VmDirectory } from "../platform/vm_directory.ts";

/** What this node knows of nodes beyond the platform's lagging VM list. */
export abstract class PeerViews {
  /**
   * Checks whether a node has announced that it accepts no new work.
   * @param node The node, which may be this one.
   * @returns Whether it is leaving or has left.
   */
  abstract isLeaving(node: NodeId): boolean;

  /**
   * Reads the load of a node.
   * @param node The node, which may be this one.
   * @returns Number of its requests in progress, or undefined if not known.
   */
  abstract loadOf(node: NodeId): number | undefined;
}

/** Finds the node that controls the engine likely to serve an adapter. */
export abstract class AdapterControllerFinder {
  /**
   * Finds the node.
   * @param adapter The adapter, with or without a version.
   * @returns The node, or undefined if there is no engine for the adapter.
   */
  abstract controllerOf(adapter: string): NodeId | undefined;
}

/** The dependencies of an {@link AddressDirectory}. */
export interface AddressDirectoryParts {
  readonly directory: VmDirectory;
  readonly peers: PeerViews;
  readonly controllers: AdapterControllerFinder;
  readonly maximumLifetime: Duration;
}

/** What a caller states about itself and its work. */
export interface AddressRequest {
  readonly region?: string;
  readonly failureDomain?: string;
  readonly adapter?: string;
}

/** The answer to a caller: the VMs to use, best first, and its lifetime. */
export interface AddressedAnswer {
  readonly vms: readonly Vm[];
  readonly lifetime: Duration;
}

const SEED_LIMIT = 2 ** 31;

/** Chooses the addresses that callers should use. */
export class AddressDirectory {
  readonly #parts: AddressDirectoryParts;
  readonly #random = randomSource(randomInt(SEED_LIMIT));

  /** @param parts The dependencies. */
  constructor(parts: AddressDirectoryParts) {
    this.#parts = parts;
  }

  /**
   * Answers a caller.
   * @param request What the caller states about itself.
   * @returns The VMs to use, best first, and how long the list is valid.
   */
  answer(request: AddressRequest): AddressedAnswer {
    const entries = this.#parts.directory.vms
      .filter((vm) => vm.role.kind === "entry");
    const answer = chooseAddresses(
      entries.map((vm) => this.#toCandidate(vm)),
      this.#toQuery(request),
      {
        maximumLifetime: this.#parts.maximumLifetime,
        random: this.#random,
      },
    );
    return { vms: vmsOf(answer, entries), lifetime: answer.lifetime };
  }

  #toCandidate(vm: Vm): AddressCandidate {
    const node = nodeId(vm.id);
    const { peers } = this.#parts;
    const load = peers.loadOf(node);
    return {
      node,
      region: vm.region,
      failureDomain: vm.failureDomain,
      leaving: vm.state === "leaving" || peers.isLeaving(node),
      ...(load !== undefined && { load }),
    };
  }

  #toQuery({ region, failureDomain, adapter }: AddressRequest): AddressQuery {
    const controller = adapter === undefined
      ? undefined
      : this.#parts.controllers.controllerOf(adapter);
    return {
      ...(region !== undefined && { region }),
      ...(failureDomain !== undefined && { failureDomain }),
      ...(controller !== undefined && { controller }),
    };
  }
}

function vmsOf(answer: AddressAnswer, entries: readonly Vm[]): readonly Vm[] {
  const byId = new Map(entries.map((vm) => [vm.id, vm]));
  return answer.nodes.flatMap((node) => byId.get(node) ?? []);
}
