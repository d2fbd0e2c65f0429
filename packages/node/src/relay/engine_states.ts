import {
  AccountUse,
  EngineDigest,
  EngineStates,
  RetryUse,
} from "@foxtailwind/protocol";

/** Engine states that are not numbered yet. */
export type UnnumberedStates = Omit<EngineStates, "sequence">;

/** An entry of engine states that can't be encoded. */
export interface RejectedEntry {
  readonly kind: "engine" | "account" | "retries";
  /** The id of the engine, account or service. */
  readonly id: string;
  readonly detail: string;
}

/** Engine states that can be encoded, and their bytes. */
export interface EncodedStates {
  readonly states: UnnumberedStates;
  readonly bytes: Uint8Array;
}

/** The encoder of a message. */
interface MessageEncoder<T> {
  encode(message: T): unknown;
}

/**
 * Encodes engine states. An entry that can't be encoded is left out, so that it
 * costs neither the other entries nor the node.
 * @param states The states.
 * @param onRejected Called for each entry that is left out.
 * @returns The states that are left, and their bytes.
 */
export function encodeEngineStates(
  states: UnnumberedStates,
  onRejected: (entry: RejectedEntry) => void,
): EncodedStates {
  try {
    return { states, bytes: encodeUnnumbered(states) };
  } catch {
    const encodable = keepEncodable(states, onRejected);
    return { states: encodable, bytes: encodeUnnumbered(encodable) };
  }
}

function encodeUnnumbered(states: UnnumberedStates): Uint8Array {
  return EngineStates.encode({ ...states, sequence: 0 }).finish();
}

function keepEncodable(
  { engines, accounts, retries }: UnnumberedStates,
  onRejected: (entry: RejectedEntry) => void,
): UnnumberedStates {
  const isEncodable = <T>(
    encoder: MessageEncoder<T>,
    message: T,
    entry: Omit<RejectedEntry, "detail">,
  ) => {
    try {
      encoder.encode(message);
      return true;
    } catch (error) {
      onRejected({ ...entry, detail: String(error) });
      return false;
    }
  };
  return {
    engines: engines.filter((digest) =>
      isEncodable(EngineDigest, digest, { kind: "engine", id: digest.engine })
    ),
    accounts: accounts.filter((use) =>
      isEncodable(AccountUse, use, { kind: "account", id: use.account })
    ),
    retries: retries.filter((use) =>
      isEncodable(RetryUse, use, { kind: "retries", id: use.service })
    ),
  };
}
