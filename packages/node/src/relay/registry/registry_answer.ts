import { type Instant, instant } from "@foxtailwind/core";
import type { ExchangeAnswer, ExchangeQuestion } from "@foxtailwind/protocol";
import type { Knowledge } from "../knowledge.ts";
import {
  decodeRegistryAge,
  encodeRegistryAge,
  encodeRegistryEntries,
} from "./registry_message.ts";

/** The time after which an exchange counts as unanswered. */
export const EXCHANGE_TIMEOUT_MILLISECONDS = 500;
/**
 * The maximum number of registry entries in an answer, some 80 KB; the rest
 * comes with the next ones.
 */
const MAXIMUM_ANSWERED_ENTRIES = 200;
/** How much later than its proof a node counts as having the registry. */
const PROOF_MARGIN_MILLISECONDS = 500;

/** What an answer to an exchange says of the registry of servers. */
export type RegistryAnswer = Pick<
  ExchangeAnswer,
  "registry" | "registryCursor" | "registryAgeMilliseconds"
>;

/**
 * Answers an exchange with the changes of the registry that the asker lacks.
 * @param now The present time.
 * @param knowledge The knowledge of this node.
 * @param question The question.
 * @param incarnation The run of this node.
 * @returns This part of the answer.
 */
export function answerRegistry(
  now: Instant,
  { registry, registryProofs }: Pick<Knowledge, "registry" | "registryProofs">,
  question: ExchangeQuestion,
  incarnation: string,
): RegistryAnswer {
  const isSameRun = question.incarnation === incarnation;
  const { entries, count } = registry.changesSince(
    isSameRun ? question.registryCursor : knownCount(now, registry, question),
    MAXIMUM_ANSWERED_ENTRIES,
  );
  const isComplete = count === registry.changeCount;
  return {
    registry: encodeRegistryEntries(entries),
    registryCursor: count,
    ...encodeRegistryAge(isComplete ? registryProofs.age : undefined),
  };
}

/**
 * The count of changes that a new partner has by the age of its proof: what
 * was recorded here before it is older than the proof.
 */
function knownCount(
  now: Instant,
  registry: Knowledge["registry"],
  question: ExchangeQuestion,
): number {
  const age = decodeRegistryAge(question);
  if (age === undefined) return 0;
  const since = age + EXCHANGE_TIMEOUT_MILLISECONDS + PROOF_MARGIN_MILLISECONDS;
  return registry.changeCountBefore(instant(now - since));
}
