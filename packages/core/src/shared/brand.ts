declare const brandKey: unique symbol;

/**
 * A value of `Base` that only its own constructor function may produce, so
 * that two kinds of id are never confused.
 */
export type Brand<Base, Name extends string> = Base & {
  readonly [brandKey]: Name;
};
