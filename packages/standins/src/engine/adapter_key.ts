import type { AdapterReference } from "@foxtailwind/edges";

/**
 * Names an adapter version in maps and in token texts.
 * @param reference The adapter and its version.
 * @returns `adapter@version`.
 */
export function adapterKey(reference: AdapterReference): string {
  return `${reference.adapter}@${reference.version}`;
}
