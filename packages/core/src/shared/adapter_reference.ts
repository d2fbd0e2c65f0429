import type { AdapterId, AdapterVersion } from "./ids.ts";
import type { Brand } from "./brand.ts";

/** An adapter at one version: what an engine loads and a request names. */
export interface AdapterReference {
  readonly adapter: AdapterId;
  readonly version: AdapterVersion;
}

/** A reference as one text, for keys of maps. */
export type AdapterKey = Brand<string, "AdapterKey">;

const SEPARATOR = "@";

/**
 * Gives a reference as one text, `adapter@version`.
 * @param reference The adapter and version.
 * @returns The key.
 */
export function adapterKey(reference: AdapterReference): AdapterKey {
  return `${reference.adapter}${SEPARATOR}${reference.version}` as AdapterKey;
}

/**
 * Compares two references.
 * @param left One reference.
 * @param right The other.
 * @returns Whether both name the same adapter and version.
 */
export function sameAdapter(
  left: AdapterReference,
  right: AdapterReference,
): boolean {
  return left.adapter === right.adapter && left.version === right.version;
}
