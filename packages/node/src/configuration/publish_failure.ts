import type {
  ChangeId,
  Failure,
  FirstVerdict,
  LogOffset,
} from "@foxtailwind/core";

/** A change that was accepted. */
export interface AcceptedChange {
  readonly id: ChangeId;
  readonly offset: LogOffset;
  /** Whether the id had been read before. */
  readonly repeated: boolean;
}

/** Who came first. */
export interface Winner {
  readonly item: string;
  readonly offset: LogOffset;
  readonly author: string;
  readonly change: ChangeId;
}

/** Why a change was not accepted, and what the operator can do. */
export interface PublishFailure extends Failure {
  readonly remedy: string;
  readonly winner?: Winner;
}

type Refusal = Exclude<FirstVerdict, { readonly kind: "accepted" }>;

/**
 * Tells an operator why readers refuse a record.
 * @param verdict Their verdict.
 * @returns The failure.
 */
export function toPublishFailure(verdict: Refusal): PublishFailure {
  switch (verdict.kind) {
    case "conflict": {
      const { item, winner: offset, author, change } = verdict;
      return {
        ...publishFailure("conflict", {
          message: `${item} was changed by ${author} at offset ${offset}, ` +
            "after the configuration that this change was made from.",
          remedy: "Look at the item again, and publish under a new id.",
        }),
        winner: { item, offset, author, change },
      };
    }
    case "base_out_of_range":
      return publishFailure("conflict", {
        message: `The base must lie between offset ${verdict.oldest} and ` +
          `${verdict.newest}.`,
        remedy: "Read the configuration again, and publish under a new id.",
      });
  }
}

/**
 * Makes a failure of a publication that changed nothing.
 * @param reason Why.
 * @param text What to tell the operator.
 * @returns The failure.
 */
export function publishFailure(
  reason: Failure["reason"],
  text: { readonly message: string; readonly remedy: string },
): PublishFailure {
  return {
    reason,
    step: "publish_configuration",
    peer: "self",
    outcome: "not_run",
    ...text,
  };
}
