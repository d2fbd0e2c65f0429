import type { AdapterId, AdapterVersion } from "./ids.ts";
import type { Brand } from "./brand.ts";

/** One version of an adapter, as engines load it and requests name it. */
export interface AdapterReference {
  readonly adapter: AdapterId;
  readonly version: AdapterVersion;
}

/** An adapter reference as a string, for use as a map key. */
export type AdapterKey = Brand<string, "AdapterKey">;

const SEPARATOR = "@";

/**
 * Formats an adapter reference as `adapter@version`.
 * @param reference The adapter and its version.
 * @returns The key.
 */
export function adapterKey(reference: AdapterReference): AdapterKey {
  return `${reference.adapter}${SEPARATOR}${reference.version}` as AdapterKey;
}

/**
 * Compares two references.
 * @param left One reference.
 * @param right The other.
 * @returns Whether both refer to the same adapter and version.
 */
export function sameAdapter(
  left: AdapterReference,
  right: AdapterReference,
): boolean {
  return left.adapter === right.adapter && left.version === right.version;
}
