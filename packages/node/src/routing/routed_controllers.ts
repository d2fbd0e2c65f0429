import {
  adapterId,
  type AdapterReference,
  adapterVersion,
  type Configuration,
  type ModelId,
  type NodeId,
} from "@foxtailwind/core";
import { AdapterControllers } from "./address_directory.ts";

/** Tells where requests for an adapter would go. */
export interface LikelyControllers {
  /** Finds the node that controls the home of an adapter. */
  likelyController(
    model: ModelId,
    adapter: AdapterReference,
  ): NodeId | undefined;
}

/** Finds controllers as the router of generations does. */
export class RoutedControllers extends AdapterControllers {
  readonly #router: LikelyControllers;
  readonly #configuration: Configuration;

  /**
   * @param router Knows the engines and who controls them.
   * @param configuration The adapters.
   */
  constructor(router: LikelyControllers, configuration: Configuration) {
    super();
    this.#router = router;
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
    const reference = { adapter: id, version };
    return this.#router.likelyController(configured.model, reference);
  }
}
