import type { AdapterReference } from "@foxtailwind/edges";

/**
 * Formats an adapter version as a key for maps and for token texts.
 * @param reference The adapter and its version.
 * @returns `adapter@version`.
 */
export function adapterKey(reference: AdapterReference): string {
  return `${reference.adapter}@${reference.version}`;
}
