import type { ExplanationsAnswer } from "../commands/explain.ts";

type FoundExplanation = ExplanationsAnswer["found"][number];

const TIME_COLUMNS = 10;

/**
 * Writes what the nodes saw of a request.
 * @param answer What each node saw.
 * @returns The text, a paragraph for each node.
 */
export function formatExplanations(answer: ExplanationsAnswer): string {
  const paragraphs = answer.found.map(formatNode);
  const silent = answer.nodes.filter((node) => !node.answered)
    .map((node) => `${node.node} (${node.reason ?? ""})`);
  if (silent.length > 0) paragraphs.push(`No answer: ${silent.join(", ")}.`);
  return paragraphs.join("\n\n");
}

function formatNode({ node, explanation }: FoundExplanation): string {
  const lines = [
    `At ${node}, first seen ${formatTime(explanation.ageMilliseconds)} ago` +
    `${formatState(explanation)}:`,
    ...explanation.steps.map((step) =>
      formatLine(step.afterMilliseconds, step.sentence)
    ),
    ...formatFrames(explanation),
  ];
  if (explanation.leftOut > 0) {
    lines.push(`${explanation.leftOut} more steps were not kept.`);
  }
  return lines.join("\n");
}

/** Only the node that the caller faces learns of the end. */
function formatState(explanation: FoundExplanation["explanation"]): string {
  const faces = explanation.steps.some((step) => step.kind === "arrived");
  if (!faces) return "";
  return explanation.open ? ", still open" : ", ended";
}

function formatFrames(
  explanation: FoundExplanation["explanation"],
): readonly string[] {
  const first = explanation.firstFrameAfterMilliseconds;
  const last = explanation.lastFrameAfterMilliseconds;
  if (first === undefined || last === undefined) return [];
  return [
    `Passed ${explanation.tokens} tokens on in ${explanation.frames} frames, ` +
    `from ${formatTime(first)} to ${formatTime(last)}.`,
  ];
}

function formatLine(after: number, sentence: string): string {
  return `${`+${formatTime(after)}`.padStart(TIME_COLUMNS)}  ${sentence}`;
}

function formatTime(time: number): string {
  return `${time.toFixed(1)} ms`;
}
