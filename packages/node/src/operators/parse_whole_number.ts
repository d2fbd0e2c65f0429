/**
 * Parses a non-negative integer query parameter.
 * @param text The parameter's value.
 * @param bounds The value for a missing or invalid parameter, and the
 * upper limit, to which larger values are reduced.
 * @returns The number.
 */
export function parseWholeNumber(
  text: string | undefined,
  bounds: { readonly otherwise: number; readonly maximum: number },
): number {
  const value = Number(text ?? bounds.otherwise);
  if (!Number.isInteger(value) || value < 0) return bounds.otherwise;
  return Math.min(value, bounds.maximum);
}
