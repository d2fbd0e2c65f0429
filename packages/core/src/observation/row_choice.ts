import type { ClassId, TenantId } from "../shared/mod.ts";

/** The maximum number of histogram rows of a node, including "other" rows. */
export const ROW_LIMIT = 96;

/** The maximum number of classes with rows of their own. */
export const KEPT_CLASS_LIMIT = 11;

/** Represents all classes without rows of their own; not a valid class id. */
export const OTHER_CLASS = "(other)" as ClassId;

/** Represents all tenants without rows of their own; not a valid tenant id. */
export const OTHER_TENANT = "(other)" as TenantId;

/** The classes and tenants with rows of their own. */
export interface KeptRows {
  readonly classes: ReadonlySet<ClassId>;
  readonly tenants: ReadonlySet<TenantId>;
}

/** The configured classes and tenants. */
export interface ConfiguredNames {
  readonly classes: Iterable<ClassId>;
  readonly tenants: Iterable<TenantId>;
}

/**
 * Chooses the classes and tenants that get rows of their own: the first ones
 * in the order of their ids. Nodes with the same configuration make the same
 * choice, so that their rows can be merged.
 * @param names The configured classes and tenants.
 * @returns The choice; together with the "other" rows it is within the limit.
 */
export function chooseRows(names: ConfiguredNames): KeptRows {
  const classes = [...names.classes].sort().slice(0, KEPT_CLASS_LIMIT);
  const tenantLimit = Math.floor(ROW_LIMIT / (classes.length + 1)) - 1;
  const tenants = [...names.tenants].sort().slice(0, tenantLimit);
  return { classes: new Set(classes), tenants: new Set(tenants) };
}

/**
 * Compares two choices of rows.
 * @param left One choice.
 * @param right The other.
 * @returns Whether both keep the same classes and tenants.
 */
export function sameRows(left: KeptRows, right: KeptRows): boolean {
  return sameSet(left.classes, right.classes) &&
    sameSet(left.tenants, right.tenants);
}

function sameSet<Item>(
  left: ReadonlySet<Item>,
  right: ReadonlySet<Item>,
): boolean {
  if (left.size !== right.size) return false;
  for (const item of left) if (!right.has(item)) return false;
  return true;
}
