import {
  type BackendServerId,
  backendServerId,
  type CrashSuspicion,
  milliseconds,
  suspectRunTime,
} from "@foxtailwind/core";
import type { BreakCause, CrashNode } from "./crash_node.ts";
import type { CrashRequest } from "./crash_request.ts";

interface Occupant {
  readonly node: CrashNode;
  readonly request: CrashRequest;
  /** When its answer began, if it has. */
  begunAt?: number;
}

/** A server of the emulation. */
export class CrashServer {
  readonly #name: string;
  readonly #occupants = new Set<Occupant>();
  /** The number of its run. */
  run = 0;
  isUp = true;

  constructor(name: string) {
    this.#name = name;
  }

  /** Adds a request that waits for its turn. */
  admit(node: CrashNode, request: CrashRequest): Occupant {
    const occupant = { node, request };
    this.#occupants.add(occupant);
    return occupant;
  }

  /** Removes a request. */
  release(occupant: Occupant): void {
    this.#occupants.delete(occupant);
  }

  /** Returns whether a request is still there. */
  holds(occupant: Occupant): boolean {
    return this.#occupants.has(occupant);
  }

  /** The id of its present run. */
  get runId(): BackendServerId {
    return backendServerId(`${this.#name}-${this.run}`);
  }

  /** Ends the run: the nodes see their calls break. */
  end(now: number): void {
    this.isUp = false;
    this.#breakCalls(now, [...this.#occupants], "end");
    this.run += 1;
  }

  /** Breaks the calls of one node. */
  disconnect(now: number, node: CrashNode): void {
    this.#breakCalls(
      now,
      [...this.#occupants].filter((occupant) => occupant.node === node),
      "loss",
    );
  }

  /**
   * Breaks one call, and runs on.
   * @param now The present time.
   * @param draw Draws a number from 0 to 1.
   */
  resetOne(now: number, draw: () => number): void {
    const calls = [...this.#occupants];
    const reset = calls[Math.floor(draw() * calls.length)];
    if (reset !== undefined) this.#breakCalls(now, [reset], "reset");
  }

  #breakCalls(
    now: number,
    occupants: readonly Occupant[],
    cause: BreakCause,
  ): void {
    const server = this.runId;
    for (const occupant of occupants) this.#occupants.delete(occupant);
    for (const { node, request, begunAt } of occupants) {
      const ranFor = suspectRunTime(
        begunAt === undefined ? undefined : milliseconds(now - begunAt),
      );
      if (ranFor === undefined || !node.isUp) continue;
      node.recordBroken(
        request.suspects.map((suspect): CrashSuspicion => ({
          ...suspect,
          server,
          ranFor,
        })),
        cause,
      );
    }
  }
}
