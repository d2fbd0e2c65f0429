import { elapsed, type Instant, milliseconds } from "../../shared/mod.ts";
import { SMALL_BODY_BYTES } from "./client_limits.ts";

/** A body that got no bytes for this long counts as stalled. */
const STALL_TIME = milliseconds(1_000);

/** A body that is being received. */
export interface IncompleteBody {
  /** The memory that it uses, in bytes. */
  readonly usedBytes: number;
  /** When its last bytes arrived. */
  readonly progressedAt: Instant;
}

/**
 * Chooses the incomplete body that gives up its memory to another one: the body
 * that has stalled for longest, else the largest one if a small body needs the
 * memory.
 * @param now The present time.
 * @param bodies The incomplete bodies.
 * @param asker The body that needs memory.
 * @returns The chosen body; `undefined` if the asker has to give way.
 */
export function chooseYieldingBody<Body extends IncompleteBody>(
  now: Instant,
  bodies: Iterable<Body>,
  asker: IncompleteBody,
): Body | undefined {
  let stalled: Body | undefined;
  let largest: Body | undefined;
  for (const body of bodies) {
    if (body === asker || body.usedBytes === 0) continue;
    if (
      elapsed(body.progressedAt, now) >= STALL_TIME &&
      (stalled === undefined || body.progressedAt < stalled.progressedAt)
    ) {
      stalled = body;
    }
    if (largest === undefined || body.usedBytes > largest.usedBytes) {
      largest = body;
    }
  }
  if (stalled !== undefined) return stalled;
  const isLargerThanAsker = largest !== undefined &&
    asker.usedBytes <= SMALL_BODY_BYTES &&
    largest.usedBytes > SMALL_BODY_BYTES;
  return isLargerThanAsker ? largest : undefined;
}
