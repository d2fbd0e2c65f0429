import type { ExplanationsResponse } from "../commands/explain.ts";

type NodeExplanation = ExplanationsResponse["found"][number];

const TIME_WIDTH_COLUMNS = 10;

/**
 * Formats the steps of a request that the nodes recorded.
 * @param response The steps that each node recorded.
 * @returns The text, with one paragraph per node.
 */
export function formatExplanations(response: ExplanationsResponse): string {
  const paragraphs = response.found.map(formatNode);
  const unansweredNodes = response.nodes.filter((node) => !node.answered)
    .map((node) => `${node.node} (${node.reason ?? ""})`);
  if (unansweredNodes.length > 0) {
    paragraphs.push(`No answer: ${unansweredNodes.join(", ")}.`);
  }
  return paragraphs.join("\n\n");
}

function formatNode({ node, explanation }: NodeExplanation): string {
  const lines = [
    `At ${node}, first seen ${formatTime(explanation.ageMilliseconds)} ago` +
    `${formatState(explanation)}:`,
    ...explanation.steps.map((step) =>
      formatStep(step.afterMilliseconds, step.sentence)
    ),
    ...formatFrames(explanation),
  ];
  if (explanation.leftOut > 0) {
    lines.push(`${explanation.leftOut} more steps were not kept.`);
  }
  return lines.join("\n");
}

/** Only the node that the caller is connected to learns of the end. */
function formatState(explanation: NodeExplanation["explanation"]): string {
  const facesCaller = explanation.steps.some((step) => step.kind === "arrived");
  if (!facesCaller) return "";
  return explanation.open ? ", still open" : ", ended";
}

function formatFrames(
  explanation: NodeExplanation["explanation"],
): readonly string[] {
  const first = explanation.firstFrameAfterMilliseconds;
  const last = explanation.lastFrameAfterMilliseconds;
  if (first === undefined || last === undefined) return [];
  return [
    `Passed ${explanation.tokens} tokens on in ${explanation.frames} frames, ` +
    `from ${formatTime(first)} to ${formatTime(last)}.`,
  ];
}

function formatStep(after: number, sentence: string): string {
  return `${`+${formatTime(after)}`.padStart(TIME_WIDTH_COLUMNS)}  ${sentence}`;
}

function formatTime(time: number): string {
  return `${time.toFixed(1)} ms`;
}
