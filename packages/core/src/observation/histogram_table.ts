import {
  type ClassId,
  type EngineId,
  type Instant,
  later,
  seconds,
  type TenantId,
} from "../shared/mod.ts";
import { HistogramRow } from "./histogram_row.ts";
import {
  chooseRows,
  type ConfiguredNames,
  type KeptRows,
  OTHER_CLASS,
  OTHER_TENANT,
  sameRows,
} from "./row_choice.ts";
import { WindowedHistogram } from "./windowed_histogram.ts";

/** The length of a period of the recent window. */
export const RECENT_PERIOD = seconds(60);

/** The maximum number of engines with their own batch fill histogram. */
export const ENGINE_LIMIT = 64;

/** Represents the engines beyond the limit. */
export const OTHER_ENGINE = "(other)" as EngineId;

const PERCENT = 100;

/** All histograms of a node, in bounded memory. */
export class HistogramTable {
  readonly #rows = new Map<ClassId, Map<TenantId, HistogramRow>>();
  readonly #engines = new Map<EngineId, WindowedHistogram>();
  #kept: KeptRows = chooseRows({ classes: [], tenants: [] });
  #rotateAt: Instant;

  /** @param now The current time. */
  constructor(now: Instant) {
    this.#rotateAt = later(now, RECENT_PERIOD);
  }

  /** An upper estimate of the memory of all histograms, in bytes. */
  get bytes(): number {
    let bytes = 0;
    for (const row of this.rows()) {
      for (const histogram of row.histograms.values()) bytes += histogram.bytes;
    }
    for (const histogram of this.#engines.values()) bytes += histogram.bytes;
    return bytes;
  }

  /** Batch fill by engine, in percent. */
  get engines(): ReadonlyMap<EngineId, WindowedHistogram> {
    return this.#engines;
  }

  /**
   * Iterates over the rows created so far.
   * @returns The rows.
   */
  *rows(): Generator<HistogramRow> {
    for (const tenants of this.#rows.values()) yield* tenants.values();
  }

  /**
   * Applies the configured classes and tenants. Rows that are no longer kept
   * are merged into "other" rows.
   * @param names The configured classes and tenants.
   * @returns Whether the kept rows changed; references to rows are then stale.
   */
  configure(names: ConfiguredNames): boolean {
    const kept = chooseRows(names);
    if (sameRows(kept, this.#kept)) return false;
    this.#kept = kept;
    const previousRows = [...this.rows()];
    this.#rows.clear();
    for (const row of previousRows) this.#reassignRow(row);
    return true;
  }

  /**
   * Returns the row that counts a class and tenant.
   * @param className The class.
   * @param tenant The tenant.
   * @returns Their own row, or an "other" row.
   */
  row(className: ClassId, tenant: TenantId): HistogramRow {
    const rowClass = this.#kept.classes.has(className)
      ? className
      : OTHER_CLASS;
    const rowTenant = this.#kept.tenants.has(tenant) ? tenant : OTHER_TENANT;
    const existing = this.#rows.get(rowClass)?.get(rowTenant);
    if (existing !== undefined) return existing;
    const created = new HistogramRow(rowClass, rowTenant);
    this.#insertRow(created);
    return created;
  }

  /**
   * Records how much of its batch an engine used.
   * @param engine The engine.
   * @param fill The share in use, from 0 to 1.
   */
  recordBatchFill(engine: EngineId, fill: number): void {
    const existing = this.#engines.get(engine);
    const histogram = existing ?? this.#engineHistogram(engine);
    histogram.record(Math.round(Math.max(fill, 0) * PERCENT), 1);
  }

  /**
   * Rotates the histograms when the current period has ended.
   * @param now The current time.
   */
  advance(now: Instant): void {
    if (now < this.#rotateAt) return;
    this.#rotate();
    const next = later(this.#rotateAt, RECENT_PERIOD);
    if (now >= next) this.#rotate();
    this.#rotateAt = now >= next ? later(now, RECENT_PERIOD) : next;
  }

  #rotate(): void {
    for (const row of this.rows()) row.rotate();
    for (const histogram of this.#engines.values()) histogram.rotate();
  }

  #reassignRow(row: HistogramRow): void {
    const target = this.#kept.classes.has(row.class) &&
        this.#kept.tenants.has(row.tenant)
      ? undefined
      : this.row(row.class, row.tenant);
    if (target === undefined) this.#insertRow(row);
    else target.merge(row);
  }

  #insertRow(row: HistogramRow): void {
    const tenants = this.#rows.get(row.class);
    if (tenants !== undefined) tenants.set(row.tenant, row);
    else this.#rows.set(row.class, new Map([[row.tenant, row]]));
  }

  #engineHistogram(engine: EngineId): WindowedHistogram {
    const name = this.#engines.size < ENGINE_LIMIT ? engine : OTHER_ENGINE;
    const existing = this.#engines.get(name);
    if (existing !== undefined) return existing;
    const created = new WindowedHistogram();
    this.#engines.set(name, created);
    return created;
  }
}
