declare const brandKey: unique symbol;

/**
 * A nominal type over `Base`. Values are created by the type's own
 * constructor function, so that two kinds of id cannot be mixed up.
 */
export type Brand<Base, Name extends string> = Base & {
  readonly [brandKey]: Name;
};
