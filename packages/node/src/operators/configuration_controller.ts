import {
  configurationRecordSchema,
  findDifferences,
  NO_VERSION,
} from "@foxtailwind/core";
import {
  Body,
  Controller,
  Get,
  Inject,
  Param,
  Post,
  Query,
  Res,
} from "@nestjs/common";
import type { FastifyReply } from "fastify";
import { publishFailure } from "../configuration/publish_failure.ts";
import { DaemonParts } from "../daemon_parts.ts";
import { sendOperatorProblem } from "./operator_problem.ts";
import { readPublishBody } from "./publish_body.ts";
import { wholeNumber } from "./query.ts";

const DEFAULT_HISTORY = 20;
const MAXIMUM_HISTORY = 1_000;
const OK = 200;

/** Publishes configuration for operators and tells what is in force. */
@Controller("v1/operators/configuration")
export class ConfigurationController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Tells the configuration in force here. */
  @Get()
  inForce() {
    const { configuration, corruptRecords } = this.#parts.follower;
    return {
      offset: configuration.offset,
      digest: configuration.digest,
      classes: Object.fromEntries(configuration.classes),
      tenants: configuration.tenants.size,
      adapters: configuration.adapters.size,
      services: Object.fromEntries(configuration.services),
      corrupt_records: corruptRecords,
    };
  }

  /** Appends a record of changes and answers what became of it. */
  @Post()
  async publish(
    @Body() body: unknown,
    @Res() reply: FastifyReply,
  ): Promise<void> {
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

  /** Compares changes with what is in force here; publishes nothing. */
  @Post("diff")
  async compare(
    @Body() body: unknown,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const { configuration } = this.#parts.follower;
    const record = readPublishBody(body, { offset: NO_VERSION });
    if (record.isErr()) {
      await sendOperatorProblem(reply, record.error);
      return;
    }
    await reply.status(OK).send({
      offset: configuration.offset,
      differences: findDifferences(configuration, record.value.changes),
    });
  }

  /** Tells the latest changes and what became of them. */
  @Get("history")
  history(@Query("limit") limit: string | undefined) {
    const { recent } = this.#parts.follower.configuration;
    const count = wholeNumber(limit, {
      otherwise: DEFAULT_HISTORY,
      maximum: MAXIMUM_HISTORY,
    });
    return {
      changes: recent.latest(count).map((change) => ({
        id: change.id,
        offset: change.offset,
        author: change.author,
        summary: change.summary,
        verdict: change.verdict.kind,
        ...(change.verdict.kind === "conflict" &&
          { winner: change.verdict.winner }),
      })),
    };
  }

  /** Tells what became of one change. */
  @Get("changes/:id")
  async change(
    @Param("id") id: string,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const { recent, offset } = this.#parts.follower.configuration;
    const parsed = configurationRecordSchema.shape.id.safeParse(id);
    const change = parsed.success ? recent.find(parsed.data) : undefined;
    if (change !== undefined) {
      await reply.status(OK).send(change);
      return;
    }
    await sendOperatorProblem(
      reply,
      publishFailure("not_found", {
        message: `No change ${id} is known at offset ${offset}.`,
        remedy: "Publish it again under the same id to settle it.",
      }),
    );
  }
}
