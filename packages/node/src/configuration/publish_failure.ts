import type {
  ChangeId,
  Failure,
  FirstVerdict,
  LogOffset,
} from "@foxtailwind/core";

/** An accepted change. */
export interface AcceptedChange {
  readonly id: ChangeId;
  readonly offset: LogOffset;
  /** Whether a change with the same id had been read before. */
  readonly repeated: boolean;
}

/** The earlier change that a conflicting change lost to. */
export interface ConflictWinner {
  readonly item: string;
  readonly offset: LogOffset;
  readonly author: string;
  readonly change: ChangeId;
}

/** Why a change was not accepted and what the operator can do about it. */
export interface PublishFailure extends Failure {
  readonly remedy: string;
  readonly winner?: ConflictWinner;
}

type RefusingVerdict = Exclude<FirstVerdict, { readonly kind: "accepted" }>;

/**
 * Converts the readers' refusal of a record to a failure for the operator.
 * @param verdict The readers' verdict.
 * @returns The failure.
 */
export function toPublishFailure(verdict: RefusingVerdict): PublishFailure {
  switch (verdict.kind) {
    case "conflict": {
      const { item, winner: offset, author, change } = verdict;
      return {
        ...createPublishFailure("conflict", {
          message: `${item} was changed by ${author} at offset ${offset}, ` +
            "after the configuration that this change was made from.",
          remedy: "Look at the item again, and publish under a new id.",
        }),
        winner: { item, offset, author, change },
      };
    }
    case "base_out_of_range":
      return createPublishFailure("conflict", {
        message: `The base must lie between offset ${verdict.oldest} and ` +
          `${verdict.newest}.`,
        remedy: "Read the configuration again, and publish under a new id.",
      });
  }
}

/**
 * Creates the failure of a publication that changed nothing.
 * @param reason The reason.
 * @param text The message and remedy for the operator.
 * @returns The failure.
 */
export function createPublishFailure(
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
