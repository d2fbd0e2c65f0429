/** A key or section that occurs more than once in a settings file. */
export interface RepeatedKey {
  readonly section: string;
  /** Empty if the section itself is repeated. */
  readonly key: string;
}

const SECTION_LINE = /^\s*\[([^\]]*)\]\s*$/;
const KEY_LINE = /^\s*([^;#=\s][^=]*?)\s*(?:=|$)/;

/**
 * Finds repeated keys and sections. The INI library silently keeps the last of
 * two values, which would hide a typing error.
 * @param text The file's content, in INI format.
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
