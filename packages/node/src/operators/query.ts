/**
 * Reads a whole number from a query.
 * @param text The query's value.
 * @param limits What is taken where it is missing or no whole number, and the
 * most that is allowed.
 * @returns The number.
 */
export function wholeNumber(
  text: string | undefined,
  limits: { readonly otherwise: number; readonly maximum: number },
): number {
  const value = Number(text ?? limits.otherwise);
  if (!Number.isInteger(value) || value < 0) return limits.otherwise;
  return Math.min(value, limits.maximum);
}
