import type { ClassId, TenantId } from "../shared/mod.ts";
import { type Measure, MEASURES } from "./measure.ts";
import { WindowedHistogram } from "./windowed_histogram.ts";

/** The number of requests by how they ended, since the start. */
export interface EndedCounts {
  readonly answered: number;
  readonly failed: number;
  /** Failed requests that did not run. */
  readonly refused: number;
}

/** The ways in which a request can end. */
export type EndKind = keyof EndedCounts;

/** The histograms of one class and tenant, created on first use. */
export class HistogramRow {
  readonly class: ClassId;
  readonly tenant: TenantId;
  readonly #histograms = new Map<Measure, WindowedHistogram>();
  readonly #ended = { answered: 0, failed: 0, refused: 0 };

  /**
   * @param className The class.
   * @param tenant The tenant.
   */
  constructor(className: ClassId, tenant: TenantId) {
    this.class = className;
    this.tenant = tenant;
  }

  /** The number of its requests by how they ended. */
  get ended(): EndedCounts {
    return this.#ended;
  }

  /** The histograms created so far. */
  get histograms(): ReadonlyMap<Measure, WindowedHistogram> {
    return this.#histograms;
  }

  /**
   * Returns the histogram of a measure.
   * @param measure The measure.
   * @returns The histogram, created if it does not exist yet.
   */
  histogram(measure: Measure): WindowedHistogram {
    const existing = this.#histograms.get(measure);
    if (existing !== undefined) return existing;
    const created = new WindowedHistogram(measure === "between_tokens");
    this.#histograms.set(measure, created);
    return created;
  }

  /**
   * Counts the end of a request.
   * @param kind How it ended.
   */
  countEnd(kind: EndKind): void {
    this.#ended[kind] += 1;
  }

  /** Ends the current period of all its histograms. */
  rotate(): void {
    for (const histogram of this.#histograms.values()) histogram.rotate();
  }

  /**
   * Adds the counts of another row.
   * @param other The other row.
   */
  merge(other: HistogramRow): void {
    for (const measure of MEASURES) {
      const histogram = other.#histograms.get(measure);
      if (histogram !== undefined) this.histogram(measure).merge(histogram);
    }
    this.#ended.answered += other.#ended.answered;
    this.#ended.failed += other.#ended.failed;
    this.#ended.refused += other.#ended.refused;
  }
}
