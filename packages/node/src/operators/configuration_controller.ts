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
import { createPublishFailure } from "../configuration/publish_failure.ts";
import { DaemonParts } from "../daemon_parts.ts";
import { sendOperatorProblem } from "./operator_problem.ts";
import { readPublishBody } from "./publish_body.ts";
import { parseWholeNumber } from "./parse_whole_number.ts";

const DEFAULT_HISTORY_LENGTH = 20;
const MAXIMUM_HISTORY_LENGTH = 1_000;
const OK = 200;

/** Publishes configuration changes and reports the one in force. */
@Controller("v1/operators/configuration")
export class ConfigurationController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Returns the configuration in force on this node. */
  @Get()
  current() {
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

  /** Appends a record of changes and returns its result. */
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

  /** Compares changes with the configuration in force, without publishing. */
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

  /** Lists the latest changes with their verdicts. */
  @Get("history")
  history(@Query("limit") limit: string | undefined) {
    const { recent } = this.#parts.follower.configuration;
    const count = parseWholeNumber(limit, {
      otherwise: DEFAULT_HISTORY_LENGTH,
      maximum: MAXIMUM_HISTORY_LENGTH,
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

  /** Returns one change with its verdict. */
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
      createPublishFailure("not_found", {
        message: `No change ${id} is known at offset ${offset}.`,
        remedy: "Publish it again under the same id to settle it.",
      }),
    );
  }
}
