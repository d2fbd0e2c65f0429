import type {
  EngineId,
  Failure,
  FencingNumber,
  Instant,
} from "@foxtailwind/core";
import { ok, type Result } from "neverthrow";

/** Tells whether this node may give an engine orders that change its state. */
export abstract class OrderRight {
  /**
   * Reads the right as it is now.
   * @param engine The engine.
   * @param now The present time.
   * @returns The fencing number of orders given now, or why none may be given.
   */
  abstract current(
    engine: EngineId,
    now: Instant,
  ): Result<FencingNumber, Failure>;
}

/** A right that never lapses, for a node without others. */
export class ConstantOrderRight extends OrderRight {
  readonly #fencing: FencingNumber;

  /** @param fencing The fencing number of all orders. */
  constructor(fencing: FencingNumber) {
    super();
    this.#fencing = fencing;
  }

  override current(): Result<FencingNumber, Failure> {
    return ok(this.#fencing);
  }
}
