import type {
  EngineId,
  Failure,
  FencingNumber,
  Instant,
} from "@foxtailwind/core";
import { ok, type Result } from "neverthrow";

/** Determines whether this node may change the state of an engine. */
export abstract class OrderAuthorizer {
  /**
   * Checks the authorization at the present time.
   * @param engine The engine.
   * @param now The present time.
   * @returns The fencing number for orders, or why orders are not allowed.
   */
  abstract authorizeOrder(
    engine: EngineId,
    now: Instant,
  ): Result<FencingNumber, Failure>;
}

/** An authorization that never expires, for a single-node deployment. */
export class ConstantOrderAuthorizer extends OrderAuthorizer {
  readonly #fencing: FencingNumber;

  /** @param fencing The fencing number of all orders. */
  constructor(fencing: FencingNumber) {
    super();
    this.#fencing = fencing;
  }

  override authorizeOrder(): Result<FencingNumber, Failure> {
    return ok(this.#fencing);
  }
}
