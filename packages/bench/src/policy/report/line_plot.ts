/** One line of a plot. */
export interface PlotLine {
  readonly name: string;
  readonly values: readonly number[];
}

/** What a plot shows. */
export interface Plot {
  readonly title: string;
  readonly lines: readonly PlotLine[];
  /** The width of one value on the horizontal axis. */
  readonly step: number;
  readonly horizontal: string;
  readonly vertical: string;
  readonly marks: readonly { readonly at: number; readonly name: string }[];
}

const WIDTH = 900;
const HEIGHT = 280;
const MARGIN = { left: 60, right: 180, top: 30, bottom: 40 };
const COLOURS = [
  "#1b6ca8",
  "#d1495b",
  "#edae49",
  "#2e8b57",
  "#6a4c93",
  "#555555",
  "#00798c",
];
const SMALLEST_VALUE = 0.001;
const LEGEND_LINE = 18;

/**
 * Draws lines over time, on a logarithmic vertical axis.
 * @param plot What to show.
 * @returns An SVG element.
 */
export function linePlot(plot: Plot): string {
  const scale = scaleOf(plot);
  const lines = plot.lines.map((line, index) =>
    drawLine(line, { scale, colour: colourOf(index) }) +
    drawLegend(line.name, index)
  );
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" ` +
    `font-family="sans-serif" font-size="11">`,
    `<text x="${MARGIN.left}" y="16" font-weight="bold">${plot.title}</text>`,
    ...drawAxes(plot, scale),
    ...plot.marks.map((mark) => drawMark(mark, scale)),
    ...lines,
    "</svg>",
  ].join("\n");
}

interface Scale {
  readonly x: (index: number) => number;
  readonly y: (value: number) => number;
  readonly step: number;
  readonly decades: readonly number[];
}

function scaleOf(plot: Plot): Scale {
  const longest = Math.max(...plot.lines.map((line) => line.values.length), 2);
  const highest = Math.max(...plot.lines.flatMap((line) => line.values), 1);
  const top = Math.ceil(Math.log10(highest));
  const bottom = Math.log10(SMALLEST_VALUE);
  const width = WIDTH - MARGIN.left - MARGIN.right;
  const height = HEIGHT - MARGIN.top - MARGIN.bottom;
  const decades = Array.from(
    { length: top - bottom + 1 },
    (_, index) => bottom + index,
  );
  return {
    x: (index) => MARGIN.left + width * index / (longest - 1),
    y: (value) => {
      const logarithm = Math.log10(Math.max(SMALLEST_VALUE, value));
      return MARGIN.top + height * (top - logarithm) / (top - bottom);
    },
    step: plot.step,
    decades,
  };
}

function drawLine(
  line: PlotLine,
  { scale, colour }: { readonly scale: Scale; readonly colour: string },
): string {
  const points = line.values.map((value, index) =>
    `${scale.x(index).toFixed(1)},${scale.y(value).toFixed(1)}`
  );
  return `<polyline fill="none" stroke="${colour}" stroke-width="1.5" ` +
    `points="${points.join(" ")}"/>`;
}

function drawLegend(name: string, index: number): string {
  const x = WIDTH - MARGIN.right + 12;
  const y = MARGIN.top + LEGEND_LINE * (index + 1);
  return `<text x="${x}" y="${y}" fill="${colourOf(index)}">${name}</text>`;
}

function drawAxes(plot: Plot, scale: Scale): readonly string[] {
  const bottom = HEIGHT - MARGIN.bottom;
  const right = WIDTH - MARGIN.right;
  const grid = scale.decades.map((decade) => {
    const value = 10 ** decade;
    const y = scale.y(value);
    return `<line x1="${MARGIN.left}" x2="${right}" y1="${y}" y2="${y}" ` +
      `stroke="#ddd"/><text x="${MARGIN.left - 6}" y="${y + 4}" ` +
      `text-anchor="end">${value}</text>`;
  });
  return [
    ...grid,
    `<text x="${right}" y="${bottom + 30}" text-anchor="end">` +
    `${plot.horizontal}</text>`,
    `<text x="6" y="${MARGIN.top - 2}">${plot.vertical}</text>`,
  ];
}

function drawMark(
  mark: { readonly at: number; readonly name: string },
  scale: Scale,
): string {
  const x = scale.x(mark.at / scale.step).toFixed(1);
  const bottom = HEIGHT - MARGIN.bottom;
  return `<line x1="${x}" x2="${x}" y1="${MARGIN.top}" y2="${bottom}" ` +
    `stroke="#999" stroke-dasharray="4 3"/>` +
    `<text x="${x}" y="${bottom + 14}" text-anchor="middle">` +
    `${mark.name} (${mark.at} s)</text>`;
}

function colourOf(index: number): string {
  return COLOURS[index % COLOURS.length] ?? "black";
}
