import type { Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import type { CommandFailure } from "../command_failure.ts";
import { EXIT_CODE } from "../exit_code.ts";
import type { NodeClient } from "./node_client.ts";

const SETTLE_ATTEMPTS = 4;
const SETTLE_PAUSE_MILLISECONDS = 500;

const publishAnswerSchema = z.object({
  id: z.string(),
  offset: z.number(),
  repeated: z.boolean(),
});

const inForceSchema = z.object({ offset: z.number() });

/** An accepted change. */
export type PublishAnswer = z.output<typeof publishAnswerSchema>;

/** What to publish as one record. */
export interface PublishOrder {
  readonly changes: readonly object[];
  readonly author: string;
  /** Chosen by the operator to settle an earlier try, or made here. */
  readonly id?: string;
  /** The offset of the configuration that the operator looked at. */
  readonly base: number;
}

/**
 * Publishes a record and learns what became of it. Where an answer is lost it
 * sends the same id again: a repeated id is the same change, so this asks
 * what became of it, and cannot publish twice.
 * @param client The node.
 * @param order What to publish.
 * @returns Where the record was accepted, or why it was not.
 */
export async function publishSettled(
  client: NodeClient,
  order: PublishOrder,
): Promise<Result<PublishAnswer, CommandFailure>> {
  const id = order.id ?? randomUUID();
  const body = { ...order, id };
  let answer = await postRecord(client, body);
  for (let attempt = 1; attempt < SETTLE_ATTEMPTS; attempt += 1) {
    if (answer.isOk() || answer.error.code !== EXIT_CODE.unknown) break;
    await sleep(SETTLE_PAUSE_MILLISECONDS);
    answer = await postRecord(client, body);
  }
  return answer.mapErr((failure) =>
    withSettleRemedy({ ...failure, change: id }, order.base)
  );
}

/**
 * Reads the offset that is in force at a node, to be a change's base.
 * @param client The node.
 * @returns The offset.
 */
export async function readBase(
  client: NodeClient,
): Promise<Result<number, CommandFailure>> {
  const answer = await client.get("configuration", inForceSchema);
  return answer.map(({ offset }) => offset);
}

function postRecord(
  client: NodeClient,
  body: object,
): Promise<Result<PublishAnswer, CommandFailure>> {
  return client.call({
    method: "POST",
    path: "configuration",
    body,
    answer: publishAnswerSchema,
  });
}

function withSettleRemedy(
  failure: CommandFailure & { readonly change: string },
  base: number,
): CommandFailure {
  if (failure.code !== EXIT_CODE.unknown) return failure;
  return {
    ...failure,
    remedy: "Run the same command again, on any node, with " +
      `--id ${failure.change} --base ${base}: ` +
      "it tells what became of the change and never publishes it twice.",
  };
}
