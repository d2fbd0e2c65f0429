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

/** What this node knows of its peers beyond the platform's lagging list. */
export abstract class PeerViews {
  /**
   * Tells whether a node takes no new work, by its own word.
   * @param node The node; this one too.
   * @returns Whether it is leaving or gone.
   */
  abstract isLeaving(node: NodeId): boolean;

  /**
   * Tells a node's load.
   * @param node The node; this one too.
   * @returns Its requests in progress, or nothing where that is not known.
   */
  abstract loadOf(node: NodeId): number | undefined;
}

/** Finds the node that controls the engine which will likely run an adapter. */
export abstract class AdapterControllers {
  /**
   * Finds the node.
   * @param adapter The adapter, with or without a version.
   * @returns The node, or nothing where the adapter has no engine.
   */
  abstract controllerOf(adapter: string): NodeId | undefined;
}

/** What the directory works with. */
export interface AddressDirectoryParts {
  readonly directory: VmDirectory;
  readonly peers: PeerViews;
  readonly controllers: AdapterControllers;
  readonly longestLifetime: Duration;
}

/** What a caller asks for. */
export interface AddressRequest {
  readonly region?: string;
  readonly failureDomain?: string;
  readonly adapter?: string;
}

/** The answer to a caller, with the VMs to use in their order. */
export interface AddressedAnswer {
  readonly vms: readonly Vm[];
  readonly lifetime: Duration;
}

const SEED_LIMIT = 2 ** 31;

/** Chooses the addresses that callers are told. */
export class AddressDirectory {
  readonly #parts: AddressDirectoryParts;
  readonly #random = randomSource(randomInt(SEED_LIMIT));

  /** @param parts What the directory works with. */
  constructor(parts: AddressDirectoryParts) {
    this.#parts = parts;
  }

  /**
   * Answers a caller.
   * @param request What the caller says of itself.
   * @returns The VMs to use, best first, and for how long.
   */
  answer(request: AddressRequest): AddressedAnswer {
    const entries = this.#parts.directory.vms
      .filter((vm) => vm.role.kind === "entry");
    const answer = chooseAddresses(
      entries.map((vm) => this.#candidate(vm)),
      this.#query(request),
      {
        maximumLifetime: this.#parts.longestLifetime,
        random: this.#random,
      },
    );
    return { vms: vmsOf(answer, entries), lifetime: answer.lifetime };
  }

  #candidate(vm: Vm): AddressCandidate {
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

  #query({ region, failureDomain, adapter }: AddressRequest): AddressQuery {
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
