import {
  adapterId,
  adapterKey,
  adapterVersion,
  type Configuration,
  type NodeId,
  nodeId,
  rendezvousChoice,
} from "@foxtailwind/core";
import type { VmDirectory } from "../platform/vm_directory.ts";
import { AdapterControllers, PeerViews } from "./address_directory.ts";

/** What a node knows of itself, for its own answers. */
export interface OwnState {
  readonly self: NodeId;
  readonly isLeaving: () => boolean;
  readonly load: () => number;
}

/** Knows this node alone; of its peers only what the VM list tells. */
export class OwnView extends PeerViews {
  readonly #own: OwnState;

  /** @param own What the node knows of itself. */
  constructor(own: OwnState) {
    super();
    this.#own = own;
  }

  override isLeaving(node: NodeId): boolean {
    return node === this.#own.self && this.#own.isLeaving();
  }

  override loadOf(node: NodeId): number | undefined {
    return node === this.#own.self ? this.#own.load() : undefined;
  }
}

/** Finds controllers by the hashes of adapters and engines. */
export class HashedControllers extends AdapterControllers {
  readonly #directory: VmDirectory;
  readonly #configuration: Configuration;

  /**
   * @param directory The engines and nodes.
   * @param configuration The adapters.
   */
  constructor(directory: VmDirectory, configuration: Configuration) {
    super();
    this.#directory = directory;
    this.#configuration = configuration;
  }

  override controllerOf(adapter: string): NodeId | undefined {
    const at = adapter.lastIndexOf("@");
    const id = adapterId(at < 0 ? adapter : adapter.slice(0, at));
    const configured = this.#configuration.adapters.get(id);
    if (configured === undefined) return undefined;
    const version = at < 0
      ? configured.current
      : adapterVersion(adapter.slice(at + 1));
    const engines = this.#directory.live("engine")
      .filter((vm) => vm.role.model === configured.model)
      .map((vm) => vm.id);
    const engine = rendezvousChoice(
      adapterKey({ adapter: id, version }),
      engines,
    );
    if (engine === undefined) return undefined;
    const nodes = this.#directory.live("entry").map((vm) => nodeId(vm.id));
    return rendezvousChoice(engine, nodes);
  }
}
