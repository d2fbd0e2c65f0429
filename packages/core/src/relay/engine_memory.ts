import type { ModelId } from "../shared/mod.ts";
import type {
  EngineModel,
  EngineSpecification,
} from "./relay_configuration.ts";

/** The part of an engine's specification that states its memory. */
export type MemorySpecification = Pick<
  EngineSpecification,
  "megabytes" | "models"
>;

/** The memory of one engine, which its models and adapters share. */
export class EngineMemory {
  readonly #specification: () => MemorySpecification;
  #heldModels: readonly ModelId[] = [];

  /**
   * @param specification Returns the engine's memory and the sizes of its models
   * in the present configuration.
   */
  constructor(specification: () => MemorySpecification) {
    this.#specification = specification;
  }

  /**
   * Records which models take memory.
   * @param models The models that the engine holds.
   */
  recordModels(models: readonly ModelId[]): void {
    this.#heldModels = models;
  }

  /** The memory beside the models that are held, in megabytes. */
  get adapterMegabytes(): number {
    const { megabytes } = this.#specification();
    if (megabytes === 0) return Infinity;
    const held = this.#heldModels.reduce(
      (sum, model) => sum + this.#modelSize(model),
      0,
    );
    return Math.max(0, megabytes - held);
  }

  /** The size of the largest adapter of the models held, in megabytes. */
  get largestAdapter(): number {
    const { models } = this.#specification();
    const held = models.filter(({ model }) => this.#heldModels.includes(model));
    return largestOf(held.length > 0 ? held : models, "adapterMegabytes");
  }

  /**
   * Returns the size of an adapter.
   * @param model Its model; one that isn't configured counts as the largest.
   * @returns The size in megabytes.
   */
  adapterSize(model: ModelId): number {
    return this.#find(model)?.adapterMegabytes ??
      largestOf(this.#specification().models, "adapterMegabytes");
  }

  /**
   * Finds a model that the engine can load while it holds none.
   * @returns The first one that fits, or `undefined`.
   */
  loadableModel(): ModelId | undefined {
    const { megabytes, models } = this.#specification();
    return models.find((one) => megabytes === 0 || one.megabytes <= megabytes)
      ?.model;
  }

  #modelSize(model: ModelId): number {
    return this.#find(model)?.megabytes ??
      largestOf(this.#specification().models, "megabytes");
  }

  #find(model: ModelId) {
    return this.#specification().models.find((one) => one.model === model);
  }
}

function largestOf(
  models: readonly EngineModel[],
  size: "megabytes" | "adapterMegabytes",
): number {
  return Math.max(0, ...models.map((model) => model[size]));
}
