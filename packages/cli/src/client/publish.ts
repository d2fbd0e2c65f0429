import type { Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import type { CommandFailure } from "../command_failure.ts";
import { EXIT_CODE } from "../exit_code.ts";
import type { NodeClient } from "./node_client.ts";

const MAXIMUM_ATTEMPTS = 4;
const RETRY_DELAY_MILLISECONDS = 500;

const publishResponseSchema = z.object({
  id: z.string(),
  offset: z.number(),
  repeated: z.boolean(),
});

const currentOffsetSchema = z.object({ offset: z.number() });

/** The response to an accepted change. */
export type PublishResponse = z.output<typeof publishResponseSchema>;

/** Changes to publish as one record. */
export interface PublishRequest {
  readonly changes: readonly object[];
  readonly author: string;
  /**
   * Given by the operator to learn the outcome of an earlier attempt; generated
   * if absent.
   */
  readonly id?: string;
  /** The offset of the configuration that the changes are based on. */
  readonly base: number;
}

/**
 * Publishes a record and retries with the same id while the outcome is unknown.
 * A repeated id denotes the same change, so a retry returns the outcome of the
 * first attempt and cannot publish twice.
 * @param client The node's client.
 * @param request The record to publish.
 * @returns The offset at which the record was accepted, or why it was not.
 */
export async function publishUntilConfirmed(
  client: NodeClient,
  request: PublishRequest,
): Promise<Result<PublishResponse, CommandFailure>> {
  const id = request.id ?? randomUUID();
  const body = { ...request, id };
  let response = await postRecord(client, body);
  for (let attempt = 1; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    if (response.isOk() || response.error.code !== EXIT_CODE.unknown) break;
    await sleep(RETRY_DELAY_MILLISECONDS);
    response = await postRecord(client, body);
  }
  return response.mapErr((failure) =>
    withRetryRemedy({ ...failure, change: id }, request.base)
  );
}

/**
 * Reads the configuration offset in force at a node, as the base of a change.
 * @param client The node's client.
 * @returns The offset, or a failure.
 */
export async function readCurrentOffset(
  client: NodeClient,
): Promise<Result<number, CommandFailure>> {
  const response = await client.get("configuration", currentOffsetSchema);
  return response.map(({ offset }) => offset);
}

function postRecord(
  client: NodeClient,
  body: object,
): Promise<Result<PublishResponse, CommandFailure>> {
  return client.call({
    method: "POST",
    path: "configuration",
    body,
    responseSchema: publishResponseSchema,
  });
}

function withRetryRemedy(
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
