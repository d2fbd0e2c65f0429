import {
  adapterId,
  type AdapterReference,
  adapterVersion,
  type ClassId,
  classId,
  type EngineId,
  engineId,
} from "@foxtailwind/core";

/**
 * Names an engine.
 * @param index Its place, from 0.
 * @returns Its id.
 */
export function idOf(index: number): EngineId {
  return engineId(`engine-${index}`);
}

/**
 * Names a class.
 * @param index Its place, from 0.
 * @returns Its id.
 */
export function classOf(index: number): ClassId {
  return classId(`class-${index}`);
}

/**
 * Names an adapter's version.
 * @param adapter The adapter's place, from 0.
 * @param version The version's place, from 0.
 * @returns The adapter and version.
 */
export function adapterOf(adapter: number, version: number): AdapterReference {
  return {
    adapter: adapterId(`adapter-${adapter}`),
    version: adapterVersion(`v${version + 1}`),
  };
}

/**
 * Picks an item by a drawn number.
 * @param items The items.
 * @param choice The number, of any size.
 * @returns The item, or nothing where there is none.
 */
export function pick<Item>(
  items: readonly Item[],
  choice: number,
): Item | undefined {
  return items[choice % Math.max(1, items.length)];
}
