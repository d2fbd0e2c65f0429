import { listsRun, NO_OFFSET, sameRun, type View } from "../membership/mod.ts";
import {
  assertInvariant,
  type EngineId,
  type LogOffset,
} from "../shared/mod.ts";
import type { OwnershipRules } from "./rules.ts";
import type { Tenure, TenureRecord } from "./tenure.ts";

/**
 * Decides which tenure records take effect. The decision is deterministic, so
 * all readers of the log agree.
 */
export class TenureRegister {
  readonly #rules: OwnershipRules;
  readonly #tenures = new Map<EngineId, Tenure>();

  constructor(rules: OwnershipRules) {
    this.#rules = rules;
  }

  /** All current tenures. */
  get tenures(): readonly Tenure[] {
    return [...this.#tenures.values()];
  }

  /**
   * Finds the current tenure of an engine.
   * @param engine The engine.
   * @returns The tenure, or undefined if there never was one.
   */
  tenureOf(engine: EngineId): Tenure | undefined {
    return this.#tenures.get(engine);
  }

  /**
   * Replaces all tenures by those of a snapshot.
   * @param tenures The tenures.
   */
  restore(tenures: readonly Tenure[]): void {
    this.#tenures.clear();
    for (const tenure of tenures) this.#tenures.set(tenure.engine, tenure);
  }

  /**
   * Applies a record if the rules allow it.
   * @param record The record.
   * @param context The record's offset and the view at that offset.
   * @returns Whether the record took effect.
   */
  apply(
    record: TenureRecord,
    context: { readonly offset: LogOffset; readonly view: View },
  ): boolean {
    const before = this.#tenures.get(record.engine);
    const current = before?.offset ?? NO_OFFSET;
    if (!this.#rules.acceptsBase(record.base, current)) return false;
    if (!this.#isAllowed(record, { before, view: context.view })) return false;
    const { engine, reason, controller, successors } = record;
    const fencing = this.#rules.fencingNumberFor(context.offset, {
      reason,
      ...(before === undefined ? {} : { before }),
    });
    assertInvariant(
      before === undefined || fencing >= before.fencing,
      "fencing_never_falls",
      () => `engine ${engine} goes from ${before?.fencing ?? 0} to ${fencing}`,
    );
    this.#tenures.set(engine, {
      engine,
      offset: context.offset,
      reason,
      fencing,
      controller,
      successors,
      wait: this.#rules.takeoverWaitKind(reason, before),
    });
    return true;
  }

  #isAllowed(
    record: TenureRecord,
    context: { readonly before: Tenure | undefined; readonly view: View },
  ): boolean {
    const { before, view } = context;
    const isClaim = record.reason === "initial" ||
      record.reason === "takeover" || record.reason === "repair";
    if (isClaim && !sameRun(record.by, record.controller)) return false;
    if (isClaim && !this.#rules.acceptsClaimant(view, record.by)) return false;
    switch (record.reason) {
      case "initial":
        return before === undefined;
      case "takeover":
        return before !== undefined &&
          this.#rules.mayTakeOver(record.by.node, before);
      case "repair":
        return before !== undefined && this.#rules.mayRepair(view, before);
      case "handover":
        return before !== undefined && sameRun(before.controller, record.by) &&
          listsRun(view, record.controller);
      case "keep":
        return before !== undefined && sameRun(before.controller, record.by) &&
          sameRun(record.controller, record.by);
    }
  }
}
