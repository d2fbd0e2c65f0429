import Table from "cli-table3";

const NO_BORDERS = {
  "top": "",
  "top-mid": "",
  "top-left": "",
  "top-right": "",
  "bottom": "",
  "bottom-mid": "",
  "bottom-left": "",
  "bottom-right": "",
  "left": "",
  "left-mid": "",
  "mid": "",
  "mid-mid": "",
  "right": "",
  "right-mid": "",
  "middle": "  ",
} as const;

/** The value of a table's cell. */
export type Cell = string | number | boolean | undefined;

/**
 * Formats a table without borders, so that line-based tools can process it.
 * @param columnNames The names of the columns.
 * @param rows The rows; an undefined cell is shown as `-`.
 * @returns The table's text.
 */
export function formatTable(
  columnNames: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  if (rows.length === 0) return `No ${columnNames[0] ?? "rows"}.`;
  const table = new Table({
    head: [...columnNames],
    chars: NO_BORDERS,
    style: { "head": [], "border": [], "padding-left": 0, "padding-right": 0 },
  });
  for (const row of rows) table.push(row.map((cell) => String(cell ?? "-")));
  return table.toString().split("\n").map((line) => line.trimEnd())
    .join("\n");
}
