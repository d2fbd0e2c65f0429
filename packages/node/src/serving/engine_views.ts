import {
  type EngineId,
  engineId,
  type EngineView,
  type ModelId,
} from "@foxtailwind/core";
import type { VmDirectory } from "../platform/vm_directory.ts";

type ViewMap = ReadonlyMap<EngineId, EngineView>;

const NO_VIEWS: ViewMap = new Map();

/** The views of engines that requests may be sent to, grouped by model. */
export class EngineViews {
  readonly #directory: VmDirectory;
  readonly #views = new Map<EngineId, EngineView>();
  #byModel: ReadonlyMap<ModelId, ViewMap> | undefined;

  /** @param directory The directory of live engines and their models. */
  constructor(directory: VmDirectory) {
    this.#directory = directory;
    directory.onChange(() => {
      this.#byModel = undefined;
    });
  }

  /**
   * Adds or replaces the view of an engine.
   * @param view The view.
   */
  put(view: EngineView): void {
    if (this.#views.get(view.engine) === view) return;
    this.#views.set(view.engine, view);
    this.#byModel = undefined;
  }

  /**
   * Removes a view, unless it has been replaced.
   * @param view The view.
   */
  remove(view: EngineView): void {
    if (this.#views.get(view.engine) !== view) return;
    this.#views.delete(view.engine);
    this.#byModel = undefined;
  }

  /**
   * Lists the live engines that run a model.
   * @param model The model.
   * @returns Their views.
   */
  running(model: ModelId): ViewMap {
    this.#byModel ??= this.#groupByModel();
    return this.#byModel.get(model) ?? NO_VIEWS;
  }

  #groupByModel(): ReadonlyMap<ModelId, ViewMap> {
    const byModel = new Map<ModelId, Map<EngineId, EngineView>>();
    for (const vm of this.#directory.live("engine")) {
      const view = this.#views.get(engineId(vm.id));
      if (view === undefined) continue;
      const views = byModel.get(vm.role.model) ??
        new Map<EngineId, EngineView>();
      views.set(view.engine, view);
      byModel.set(vm.role.model, views);
    }
    return byModel;
  }
}
