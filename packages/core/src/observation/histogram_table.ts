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

/** How long a period of the recent window lasts. */
export const RECENT_PERIOD = seconds(60);

/** Most engines whose batch fill is kept apart. */
export const ENGINE_LIMIT = 64;

/** Stands for the engines beyond the limit. */
export const OTHER_ENGINE = "(other)" as EngineId;

const PERCENT = 100;

/** All histograms of a node, in bounded memory. */
export class HistogramTable {
  readonly #rows = new Map<ClassId, Map<TenantId, HistogramRow>>();
  readonly #engines = new Map<EngineId, WindowedHistogram>();
  #kept: KeptRows = chooseRows({ classes: [], tenants: [] });
  #rotateAt: Instant;

  /** @param now The present time. */
  constructor(now: Instant) {
    this.#rotateAt = later(now, RECENT_PERIOD);
  }

  /** An upper estimate of the memory of all histograms. */
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
   * Lists the rows made so far.
   * @returns The rows.
   */
  *rows(): Generator<HistogramRow> {
    for (const tenants of this.#rows.values()) yield* tenants.values();
  }

  /**
   * Learns of the configured classes and tenants. Rows that lose their place
   * are added to "other" rows.
   * @param names What is configured.
   * @returns Whether rows were moved, so that references to rows are void.
   */
  configure(names: ConfiguredNames): boolean {
    const kept = chooseRows(names);
    if (sameRows(kept, this.#kept)) return false;
    this.#kept = kept;
    const before = [...this.rows()];
    this.#rows.clear();
    for (const row of before) this.#place(row);
    return true;
  }

  /**
   * Finds the row that counts a class and tenant.
   * @param className The class.
   * @param tenant The tenant.
   * @returns Their own row, or an "other" row.
   */
  row(className: ClassId, tenant: TenantId): HistogramRow {
    const ownClass = this.#kept.classes.has(className)
      ? className
      : OTHER_CLASS;
    const ownTenant = this.#kept.tenants.has(tenant) ? tenant : OTHER_TENANT;
    const known = this.#rows.get(ownClass)?.get(ownTenant);
    if (known !== undefined) return known;
    const made = new HistogramRow(ownClass, ownTenant);
    this.#put(made);
    return made;
  }

  /**
   * Counts how fully an engine used its batch.
   * @param engine The engine.
   * @param fill The share in use, 0 to 1.
   */
  recordBatchFill(engine: EngineId, fill: number): void {
    const known = this.#engines.get(engine);
    const histogram = known ?? this.#makeEngine(engine);
    histogram.record(Math.round(Math.max(fill, 0) * PERCENT), 1);
  }

  /**
   * Ends the periods that are over.
   * @param now The present time.
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

  #place(row: HistogramRow): void {
    const target = this.#kept.classes.has(row.class) &&
        this.#kept.tenants.has(row.tenant)
      ? undefined
      : this.row(row.class, row.tenant);
    if (target === undefined) this.#put(row);
    else target.absorb(row);
  }

  #put(row: HistogramRow): void {
    const tenants = this.#rows.get(row.class);
    if (tenants !== undefined) tenants.set(row.tenant, row);
    else this.#rows.set(row.class, new Map([[row.tenant, row]]));
  }

  #makeEngine(engine: EngineId): WindowedHistogram {
    const name = this.#engines.size < ENGINE_LIMIT ? engine : OTHER_ENGINE;
    const known = this.#engines.get(name);
    if (known !== undefined) return known;
    const made = new WindowedHistogram();
    this.#engines.set(name, made);
    return made;
  }
}
