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
import { publishFailure } from "../configuration/publish_failure.ts";
import { DaemonParts } from "../daemon_parts.ts";
import { sendOperatorProblem } from "./operator_problem.ts";
import { readPublishBody } from "./publish_body.ts";

const OK = 200;
const KIND_OF_COLLECTION = {
  classes: "class",
  services: "service",
  tenants: "tenant",
  adapters: "adapter",
} as const;

type Collection = keyof typeof KIND_OF_COLLECTION;

/** Sets and removes single items of the configuration. */
@Controller("v1/operators/:collection/:item")
export class ItemChangesController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Makes an item, or changes it; the body holds its keys. */
  @Put()
  async set(
    @Param("collection") collection: string,
    @Param("item") item: string,
    @Body() body: unknown,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    if (!isCollection(collection)) {
      await refuse(reply, collection);
      return;
    }
    const kind = KIND_OF_COLLECTION[collection];
    const { record, values } = splitBody(body);
    const change = { ...values, kind: `set_${kind}`, [kind]: item };
    await this.#publish({ ...record, changes: [change] }, reply);
  }

  /** Removes an item; requests in progress are finished. */
  @Delete()
  async remove(
    @Param("collection") collection: string,
    @Param("item") item: string,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    if (!isCollection(collection)) {
      await refuse(reply, collection);
      return;
    }
    const kind = KIND_OF_COLLECTION[collection];
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
  return Object.hasOwn(KIND_OF_COLLECTION, text);
}

async function refuse(reply: FastifyReply, seen: string): Promise<void> {
  const known = Object.keys(KIND_OF_COLLECTION).join(", ");
  await sendOperatorProblem(
    reply,
    publishFailure("not_found", {
      message: `There are no items called ${seen}.`,
      remedy: `Name one of ${known}.`,
    }),
  );
}

/** The keys of the record and those of the item stand in one body. */
function splitBody(body: unknown): {
  readonly record: object;
  readonly values: object;
} {
  const given = Object.entries(
    typeof body === "object" && body !== null ? body : {},
  );
  const ofRecord = (key: string) => ["id", "author", "base"].includes(key);
  return {
    record: Object.fromEntries(given.filter(([key]) => ofRecord(key))),
    values: Object.fromEntries(given.filter(([key]) => !ofRecord(key))),
  };
}
