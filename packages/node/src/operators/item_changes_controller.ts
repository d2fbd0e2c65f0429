import {
  Body,
  Controller,
  Delete,
  Inject,
  Param,
  Put,
  Res,
} from "@nestjs/common";
import type { FastifyReply } from "fastify";
import { createPublishFailure } from "../configuration/publish_failure.ts";
import { DaemonParts } from "../daemon_parts.ts";
import { sendOperatorProblem } from "./operator_problem.ts";
import { readPublishBody } from "./publish_body.ts";

const OK = 200;
const ITEM_KIND_BY_COLLECTION = {
  classes: "class",
  services: "service",
  tenants: "tenant",
  adapters: "adapter",
} as const;

type Collection = keyof typeof ITEM_KIND_BY_COLLECTION;

/** Sets and removes single items of the configuration. */
@Controller("v1/operators/:collection/:item")
export class ItemChangesController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Creates or updates an item from the fields of the body. */
  @Put()
  async set(
    @Param("collection") collection: string,
    @Param("item") item: string,
    @Body() body: unknown,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    if (!isCollection(collection)) {
      await sendUnknownCollection(reply, collection);
      return;
    }
    const kind = ITEM_KIND_BY_COLLECTION[collection];
    const { record, values } = splitBody(body);
    const change = { ...values, kind: `set_${kind}`, [kind]: item };
    await this.#publish({ ...record, changes: [change] }, reply);
  }

  /** Removes an item; requests in progress still complete. */
  @Delete()
  async remove(
    @Param("collection") collection: string,
    @Param("item") item: string,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    if (!isCollection(collection)) {
      await sendUnknownCollection(reply, collection);
      return;
    }
    const kind = ITEM_KIND_BY_COLLECTION[collection];
    const change = { kind: `remove_${kind}`, [kind]: item };
    await this.#publish({ changes: [change] }, reply);
  }

  async #publish(body: object, reply: FastifyReply): Promise<void> {
    const { offset } = this.#parts.follower.configuration;
    const record = readPublishBody(body, { offset });
    if (record.isErr()) {
      await sendOperatorProblem(reply, record.error);
      return;
    }
    const published = await this.#parts.publisher.publish(record.value);
    if (published.isErr()) await sendOperatorProblem(reply, published.error);
    else await reply.status(OK).send(published.value);
  }
}

function isCollection(text: string): text is Collection {
  return Object.hasOwn(ITEM_KIND_BY_COLLECTION, text);
}

async function sendUnknownCollection(
  reply: FastifyReply,
  seen: string,
): Promise<void> {
  const known = Object.keys(ITEM_KIND_BY_COLLECTION).join(", ");
  await sendOperatorProblem(
    reply,
    createPublishFailure("not_found", {
      message: `There are no items called ${seen}.`,
      remedy: `Name one of ${known}.`,
    }),
  );
}

/** Separates the record's keys from the item's, which share one body. */
function splitBody(body: unknown): {
  readonly record: object;
  readonly values: object;
} {
  const entries = Object.entries(
    typeof body === "object" && body !== null ? body : {},
  );
  const isRecordKey = (key: string) => ["id", "author", "base"].includes(key);
  return {
    record: Object.fromEntries(entries.filter(([key]) => isRecordKey(key))),
    values: Object.fromEntries(entries.filter(([key]) => !isRecordKey(key))),
  };
}
