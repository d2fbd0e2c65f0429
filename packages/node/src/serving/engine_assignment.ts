import {
  type EngineId,
  type NodeId,
  nodeId,
  rendezvousChoice,
} from "@foxtailwind/core";
import type { VmDirectory } from "../platform/vm_directory.ts";

/** Determines which node controls each engine. */
export abstract class EngineAssignment {
  /**
   * Finds the node that controls an engine.
   * @param engine The engine.
   * @returns The node, or undefined if none is known.
   */
  abstract controllerOf(engine: EngineId): NodeId | undefined;

  /**
   * Adds a listener for changes of the assignment.
   * @param listener Called after each change.
   */
  abstract onChange(listener: () => void): void;
}

/** Assigns engines by rendezvous hashing over the live nodes. */
export class RendezvousAssignment extends EngineAssignment {
  readonly #directory: VmDirectory;

  /** @param directory The directory of live nodes. */
  constructor(directory: VmDirectory) {
    super();
    this.#directory = directory;
  }

  override controllerOf(engine: EngineId): NodeId | undefined {
    const nodes = this.#directory.live("entry").map((vm) => nodeId(vm.id));
    return rendezvousChoice(engine, nodes);
  }

  override onChange(listener: () => void): void {
    this.#directory.onChange(listener);
  }
}
