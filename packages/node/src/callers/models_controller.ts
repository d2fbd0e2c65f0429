import type {
  AdapterId,
  Configuration,
  ConfiguredAdapter,
  Failure,
  LogOffset,
} from "@foxtailwind/core";
import { adapterId } from "@foxtailwind/core";
import { Controller, Get, Inject, Param, Query, Res } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import * as z from "zod";
import { DaemonParts } from "../daemon_parts.ts";
import { sendChatProblem } from "./problem.ts";

const DEFAULT_PAGE_SIZE = 100;
const MAXIMUM_PAGE_SIZE = 1_000;
const OK = 200;

const pageSchema = z.object({
  limit: z.coerce.number().int().min(1).max(MAXIMUM_PAGE_SIZE).default(
    DEFAULT_PAGE_SIZE,
  ),
  after: z.string().default(""),
});

/** Lists adapters in the model format of the chat-completions API. */
@Controller("v1/models")
export class ModelsController {
  readonly #parts: DaemonParts;
  readonly #names = new SortedNameCache();

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Lists one page of adapters, sorted by name. */
  @Get()
  list(@Query() query: unknown, @Res() reply: FastifyReply): void {
    const page = pageSchema.safeParse(query);
    if (!page.success) {
      sendChatProblem(reply, invalidPageFailure());
      return;
    }
    const { configuration } = this.#parts.follower;
    const { limit, after } = page.data;
    const names = this.#names.read(configuration);
    const start = upperBound(names, after);
    const shown = names.slice(start, start + limit);
    void reply.status(OK).send({
      object: "list",
      data: shown.flatMap((name) => {
        const adapter = configuration.adapters.get(name);
        return adapter === undefined ? [] : [toModel(adapter)];
      }),
      first_id: shown[0] ?? null,
      last_id: shown.at(-1) ?? null,
      has_more: start + limit < names.length,
    });
  }

  /** Describes one adapter. */
  @Get(":model")
  find(@Param("model") model: string, @Res() reply: FastifyReply): void {
    const { adapters } = this.#parts.follower.configuration;
    const adapter = adapters.get(adapterId(model));
    if (adapter === undefined) {
      sendChatProblem(reply, adapterNotFoundFailure(model));
      return;
    }
    void reply.status(OK).send(toModel(adapter));
  }
}

/** Caches the sorted adapter names until the configuration changes. */
class SortedNameCache {
  #offset: LogOffset | undefined;
  #names: readonly AdapterId[] = [];

  read(configuration: Configuration): readonly AdapterId[] {
    if (this.#offset !== configuration.offset) {
      this.#offset = configuration.offset;
      this.#names = [...configuration.adapters.keys()].sort();
    }
    return this.#names;
  }
}

/** Finds the index of the first name after the given one. */
function upperBound(names: readonly string[], given: string): number {
  let low = 0;
  let high = names.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((names[middle] ?? "") <= given) low = middle + 1;
    else high = middle;
  }
  return low;
}

function toModel(adapter: ConfiguredAdapter) {
  return {
    id: adapter.adapter,
    object: "model",
    created: 0,
    owned_by: "foxtailwind",
    base_model: adapter.model,
    versions: adapter.versions,
    current_version: adapter.current,
  };
}

function invalidPageFailure(): Failure {
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "caller",
    message:
      `Query limit must be a whole number from 1 to ${MAXIMUM_PAGE_SIZE}.`,
    outcome: "not_run",
  };
}

function adapterNotFoundFailure(name: string): Failure {
  return {
    reason: "not_found",
    step: "resolve_adapter",
    peer: "caller",
    message: `Adapter "${name}" is not configured.`,
    outcome: "not_run",
  };
}
