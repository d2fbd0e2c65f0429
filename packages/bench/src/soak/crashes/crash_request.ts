import { contentDigest, type Suspect } from "@foxtailwind/core";
import type { SeededRandom } from "@foxtailwind/standins";
import type { CrashScenario } from "./crash_scenario.ts";

/** The parts that begin prompts. */
const FIRST_PARTS = 3;
/** The parts that come second. */
const SECOND_PARTS = 221;

/** A request of the emulation. */
export interface CrashRequest {
  readonly first: number;
  readonly second: number;
  readonly suspects: readonly Suspect[];
  /** What of it crashes servers, if anything does. */
  readonly cause: string | undefined;
}

/**
 * Draws a request.
 * @param random Draws the parts.
 * @param scenario What crashes servers.
 * @param options Its id, and whether it is to crash servers.
 * @returns The request; a sound one never has a part that crashes servers.
 */
export function drawCrashRequest(
  random: SeededRandom,
  { crashingParts, hasCrashingContent }: CrashScenario,
  { id, isCrashing }: { readonly id: number; readonly isCrashing: boolean },
): CrashRequest {
  for (;;) {
    let first = Math.floor(random.next() * FIRST_PARTS);
    let second = Math.floor(random.next() * SECOND_PARTS);
    const hasContent = isCrashing && hasCrashingContent && random.happens(0.5);
    if (isCrashing && !hasContent) {
      const part = crashingParts[
        Math.floor(random.next() * crashingParts.length)
      ];
      if (part?.position === 0) first = part.index;
      else second = part?.index ?? second;
    }
    const crashing = crashingParts.find((part) =>
      part.index === (part.position === 0 ? first : second)
    );
    if ((crashing !== undefined) !== (isCrashing && !hasContent)) continue;
    const content = contentDigest(hasContent ? "content" : `request-${id}`);
    return {
      first,
      second,
      suspects: [
        { content },
        { content: contentDigest(`first-${first}`), partPosition: 0 },
        { content: contentDigest(`second-${second}`), partPosition: 1 },
      ],
      cause: crashing === undefined
        ? hasContent ? "content" : undefined
        : `${crashing.position}-${crashing.index}`,
    };
  }
}
