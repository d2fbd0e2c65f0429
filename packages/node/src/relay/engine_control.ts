import type {
  AdapterName,
  Failure,
  FencingNumber,
  ModelId,
  NodeId,
  OrderAnswer,
  RegisteredServer,
  ServerStart,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** What an engine is ordered to do. */
export interface EngineOrder {
  readonly kind: "load" | "unload";
  readonly model: ModelId;
  /** Left out to load the base model itself. */
  readonly adapter?: AdapterName["adapter"];
  /** The adapter's version; the newest where left out. */
  readonly version?: number;
  readonly owner: NodeId;
  readonly fence: FencingNumber;
  /** Orders that the engine must have accepted so far, to accept this one. */
  readonly expectedOrders: number;
}

/** What came of an order. */
export type OrderResult =
  | { readonly kind: OrderAnswer; readonly detail?: string }
  /** A newer owner has ordered; the number must not be used again. */
  | { readonly kind: "fenced" }
  /** Another server has the engine's address. */
  | { readonly kind: "misdirected" }
  | { readonly kind: "invalid"; readonly failure: Failure };

/** An answer after which the owner can't go on as before. */
export type OrderTrouble = Extract<
  OrderResult,
  { readonly kind: "fenced" | "misdirected" | "invalid" }
>;

/** What an engine reports of itself. */
export interface EngineReport {
  /** Which start reports; left out where the engine does not tell it. */
  readonly start?: ServerStart;
  readonly models: readonly ModelId[];
  readonly adapters: readonly (AdapterName & { readonly version: number })[];
  readonly incoming: readonly AdapterName[];
  /** Whether an order for a base model is being carried out. */
  readonly isBusy: boolean;
  readonly orderCount: number;
}

/** Orders to engines, and their reports. */
export abstract class EngineControl {
  /**
   * Sends an order.
   * @param engine The engine.
   * @param order The order.
   * @returns What came of it.
   */
  abstract order(
    engine: RegisteredServer,
    order: EngineOrder,
  ): Promise<OrderResult>;

  /**
   * Asks an engine what it holds.
   * @param engine The engine.
   * @returns The report, which may be some hundred milliseconds old.
   */
  abstract report(
    engine: RegisteredServer,
  ): Promise<Result<EngineReport, Failure>>;
}
