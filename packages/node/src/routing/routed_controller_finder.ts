import {
  adapterId,
  type AdapterReference,
  adapterVersion,
  type Configuration,
  type ModelId,
  type NodeId,
} from "@foxtailwind/core";
import { AdapterControllerFinder } from "./address_directory.ts";

/** Determines where requests for an adapter are likely to be sent. */
export interface LikelyControllerFinder {
  /**
   * Finds the node that controls the home engine of an adapter.
   * @param model The adapter's model.
   * @param adapter The adapter and version.
   * @returns The node, or undefined if no engine runs the model.
   */
  likelyController(
    model: ModelId,
    adapter: AdapterReference,
  ): NodeId | undefined;
}

/** Finds controllers by means of the generation router. */
export class RoutedControllerFinder extends AdapterControllerFinder {
  readonly #router: LikelyControllerFinder;
  readonly #configuration: Configuration;

  /**
   * @param router Finds the likely controllers.
   * @param configuration The configuration of the adapters.
   */
  constructor(router: LikelyControllerFinder, configuration: Configuration) {
    super();
    this.#router = router;
    this.#configuration = configuration;
  }

  override controllerOf(adapter: string): NodeId | undefined {
    const separatorIndex = adapter.lastIndexOf("@");
    const id = adapterId(
      separatorIndex < 0 ? adapter : adapter.slice(0, separatorIndex),
    );
    const configured = this.#configuration.adapters.get(id);
    if (configured === undefined) return undefined;
    const version = separatorIndex < 0
      ? configured.current
      : adapterVersion(adapter.slice(separatorIndex + 1));
    const reference = { adapter: id, version };
    return this.#router.likelyController(configured.model, reference);
  }
}
