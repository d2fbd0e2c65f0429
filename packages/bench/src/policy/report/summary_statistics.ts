/**
 * Gives a quantile by the nearest-rank method.
 * @param values The values, in any order.
 * @param share The quantile, from 0 to 1.
 * @returns The value; 0 where there is none.
 */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const rank = Math.max(1, Math.ceil(share * sorted.length));
  return sorted[rank - 1] ?? 0;
}

/**
 * Adds values up.
 * @param values The values.
 * @returns The sum.
 */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Gives the mean.
 * @param values The values.
 * @returns The mean; 0 where there is none.
 */
export function mean(values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length);
}

/** A value over several seeds. */
export interface Spread {
  readonly mean: number;
  readonly minimum: number;
  readonly maximum: number;
}

/**
 * Gives the spread of a value over seeds.
 * @param values The value of each seed, at least one.
 * @returns The spread.
 */
export function spread(values: readonly number[]): Spread {
  return {
    mean: mean(values),
    minimum: Math.min(...values),
    maximum: Math.max(...values),
  };
}
