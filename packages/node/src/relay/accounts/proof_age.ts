import { type Duration, milliseconds } from "@foxtailwind/core";

/** The largest age that the field of a message holds, 49 days. */
const MAXIMUM_AGE_MILLISECONDS = 2 ** 32 - 1;

/** The part of a message that states the age of its sender's proof. */
export interface ProofAgeMessage {
  readonly operatorsAgeMilliseconds?: number | undefined;
}

/**
 * Encodes how long ago a node certainly had the newest configuration.
 * @param age The age, or undefined if it never had.
 * @returns The fields of the message; the age is rounded up. An age that does
 * not fit, as after the time of day was set, counts as no proof.
 */
export function encodeProofAge(age: Duration | undefined): ProofAgeMessage {
  if (age === undefined || !(age >= 0 && age <= MAXIMUM_AGE_MILLISECONDS)) {
    return {};
  }
  return { operatorsAgeMilliseconds: Math.ceil(age) };
}

/**
 * Decodes how long ago the sender of a message had the newest configuration.
 * @param message The message.
 * @returns The age, or undefined if the sender has no proof.
 */
export function decodeProofAge(
  { operatorsAgeMilliseconds }: ProofAgeMessage,
): Duration | undefined {
  return operatorsAgeMilliseconds === undefined
    ? undefined
    : milliseconds(operatorsAgeMilliseconds);
}
