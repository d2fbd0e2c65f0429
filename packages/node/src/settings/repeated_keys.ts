/** A key, or a whole section, that stands twice in a settings file. */
export interface RepeatedKey {
  readonly section: string;
  /** Empty where the section itself is repeated. */
  readonly key: string;
}

const SECTION_LINE = /^\s*\[([^\]]*)\]\s*$/;
const KEY_LINE = /^\s*([^;#=\s][^=]*?)\s*(?:=|$)/;

/**
 * Finds what stands twice. The INI library keeps the last of two values
 * without a word, so that a typing error would go unseen.
 * @param text INI.
 * @returns Each repeated key or section, once.
 */
export function findRepeatedKeys(text: string): readonly RepeatedKey[] {
  const seen = new Set<string>();
  const repeated = new Map<string, RepeatedKey>();
  let section = "";
  for (const line of text.split(/\r?\n/)) {
    const opened = SECTION_LINE.exec(line)?.[1]?.trim();
    const key = opened === undefined ? KEY_LINE.exec(line)?.[1] : "";
    if (opened !== undefined) section = opened;
    if (key === undefined) continue;
    const name = JSON.stringify([section, key]);
    if (seen.has(name)) repeated.set(name, { section, key });
    seen.add(name);
  }
  return [...repeated.values()];
}
