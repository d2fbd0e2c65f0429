import type { ClassId, TenantId } from "../shared/mod.ts";
import { type Measure, MEASURES } from "./measure.ts";
import { WindowedHistogram } from "./windowed_histogram.ts";

/** How requests ended, since the start. */
export interface EndedCounts {
  readonly answered: number;
  readonly failed: number;
  /** Refused as not run. */
  readonly refused: number;
}

/** Ways in which a request ends. */
export type EndKind = keyof EndedCounts;

/** The histograms of one class and tenant, made when first needed. */
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

  /** How its requests ended. */
  get ended(): EndedCounts {
    return this.#ended;
  }

  /** The histograms made so far. */
  get histograms(): ReadonlyMap<Measure, WindowedHistogram> {
    return this.#histograms;
  }

  /**
   * Gives the histogram of a measure.
   * @param measure The measure.
   * @returns The histogram; made where there is none yet.
   */
  histogram(measure: Measure): WindowedHistogram {
    const known = this.#histograms.get(measure);
    if (known !== undefined) return known;
    const made = new WindowedHistogram(measure === "between_tokens");
    this.#histograms.set(measure, made);
    return made;
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
   * Takes over the counts of another row.
   * @param other The other.
   */
  absorb(other: HistogramRow): void {
    for (const measure of MEASURES) {
      const histogram = other.#histograms.get(measure);
      if (histogram !== undefined) this.histogram(measure).absorb(histogram);
    }
    this.#ended.answered += other.#ended.answered;
    this.#ended.failed += other.#ended.failed;
    this.#ended.refused += other.#ended.refused;
  }
}
