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

/** An order to an engine to load or unload a model or an adapter. */
export interface EngineOrder {
  readonly kind: "load" | "unload";
  readonly model: ModelId;
  /** `undefined` for an order about the base model itself. */
  readonly adapter?: AdapterName["adapter"];
  /** The adapter's version; the newest if `undefined`. */
  readonly version?: number;
  readonly owner: NodeId;
  readonly fence: FencingNumber;
  /** The engine accepts the order only if it has accepted this many so far. */
  readonly expectedOrders: number;
}

/** The result of an order. */
export type OrderResult =
  | { readonly kind: OrderAnswer; readonly detail?: string }
  /** A newer owner has sent orders; this fencing number is no longer valid. */
  | { readonly kind: "fenced" }
  /** The engine's address now belongs to another server. */
  | { readonly kind: "misdirected" }
  | { readonly kind: "invalid"; readonly failure: Failure };

/** A result after which the owner can't continue as before. */
export type OrderRejection = Extract<
  OrderResult,
  { readonly kind: "fenced" | "misdirected" | "invalid" }
>;

/** An engine's report of its own state. */
export interface EngineReport {
  /** The start that reports; `undefined` if the engine doesn't state it. */
  readonly start?: ServerStart;
  readonly models: readonly ModelId[];
  readonly adapters: readonly (AdapterName & { readonly version: number })[];
  readonly incoming: readonly AdapterName[];
  /** Whether an order for a base model is in progress. */
  readonly isBusy: boolean;
  readonly orderCount: number;
}

/** Sends orders to engines and reads their reports. */
export abstract class EngineControl {
  /**
   * Sends an order.
   * @param engine The engine.
   * @param order The order.
   * @returns The result.
   */
  abstract order(
    engine: RegisteredServer,
    order: EngineOrder,
  ): Promise<OrderResult>;

  /**
   * Reads an engine's report.
   * @param engine The engine.
   * @returns The report, which may lag by some hundred milliseconds.
   */
  abstract report(
    engine: RegisteredServer,
  ): Promise<Result<EngineReport, Failure>>;
}
