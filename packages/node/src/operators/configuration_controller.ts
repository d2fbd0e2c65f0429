import {
  changeId,
  CONFIGURATION_STREAM,
  configurationRecordSchema,
  type Failure,
  formatConfigurationRecord,
} from "@foxtailwind/core";
import { Body, Controller, Get, Inject, Post, Res } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import { randomUUID } from "node:crypto";
import { sendProblem } from "../callers/problem.ts";
import { DaemonParts } from "../daemon_parts.ts";

/** Publishes configuration for operators. */
@Controller("v1/operators/configuration")
export class ConfigurationController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Tells the configuration in force here. */
  @Get()
  status() {
    const configuration = this.#parts.follower.configuration;
    return {
      offset: configuration.offset,
      classes: Object.fromEntries(configuration.classes),
      adapters: configuration.adapters.size,
      corrupt_records: this.#parts.follower.corruptRecords,
    };
  }

  /** Appends a record of changes. */
  @Post()
  async publish(
    @Body() body: object,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const record = configurationRecordSchema.safeParse({
      id: changeId(randomUUID()),
      author: "operator",
      base: this.#parts.follower.configuration.offset,
      ...body,
    });
    if (!record.success) {
      sendProblem(reply, invalidRecord(record.error.message));
      return;
    }
    const offset = await this.#parts.log.append(CONFIGURATION_STREAM, [
      formatConfigurationRecord(record.data),
    ]);
    if (offset.isErr()) {
      sendProblem(reply, offset.error);
      return;
    }
    await reply.status(202).send({ id: record.data.id, offset: offset.value });
  }
}

function invalidRecord(message: string): Failure {
  return {
    reason: "invalid",
    step: "publish_configuration",
    peer: "operator",
    message,
    outcome: "not_run",
  };
}
