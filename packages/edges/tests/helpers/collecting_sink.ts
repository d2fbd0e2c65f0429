import type { Failure } from "@foxtailwind/core";
import {
  type GenerationEnd,
  type GenerationFrame,
  GenerationSink,
} from "@foxtailwind/edges";
import type { Result } from "neverthrow";

/** Collects the frames and the end of a generation. */
export class CollectingSink extends GenerationSink {
  readonly frames: GenerationFrame[] = [];
  readonly ended: Promise<Result<GenerationEnd, Failure>>;
  endCount = 0;
  #resolveEnd: (result: Result<GenerationEnd, Failure>) => void = () =>
    undefined;
  #pendingWait:
    | { readonly count: number; readonly reached: () => void }
    | undefined;

  constructor() {
    super();
    this.ended = new Promise((resolve) => {
      this.#resolveEnd = resolve;
    });
  }

  override onFrame(frame: GenerationFrame): void {
    this.frames.push(frame);
    if (this.frames.length === this.#pendingWait?.count) {
      this.#pendingWait.reached();
    }
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    this.endCount += 1;
    this.#resolveEnd(result);
  }

  /** All tokens, in the order of arrival. */
  get text(): string {
    return this.frames.flatMap(({ tokens }) => tokens).join("");
  }

  /** Waits until this many frames have arrived. */
  async waitForFrames(count: number): Promise<void> {
    if (this.frames.length >= count) return;
    const reached = new Promise<boolean>((resolve) => {
      this.#pendingWait = {
        count,
        reached: () => {
          resolve(true);
        },
      };
    });
    const isReached = await Promise.race([
      reached,
      this.ended.then(() => false),
    ]);
    if (!isReached) {
      throw new Error(`The generation ended before ${count} frames arrived`);
    }
  }
}
