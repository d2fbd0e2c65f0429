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

const DEFAULT_PAGE = 100;
const MAXIMUM_PAGE = 1_000;
const OK = 200;

const pageSchema = z.object({
  limit: z.coerce.number().int().min(1).max(MAXIMUM_PAGE).default(DEFAULT_PAGE),
  after: z.string().default(""),
});

/** Lists the adapters, as the chat-completions API lists models. */
@Controller("v1/models")
export class ModelsController {
  readonly #parts: DaemonParts;
  readonly #names = new SortedNames();

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Lists a page of adapters in the order of their names. */
  @Get()
  list(@Query() query: unknown, @Res() reply: FastifyReply): void {
    const page = pageSchema.safeParse(query);
    if (!page.success) {
      sendChatProblem(reply, badPage());
      return;
    }
    const { configuration } = this.#parts.follower;
    const { limit, after } = page.data;
    const names = this.#names.of(configuration);
    const start = countUpTo(names, after);
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
      sendChatProblem(reply, noAdapter(model));
      return;
    }
    void reply.status(OK).send(toModel(adapter));
  }
}

/** Sorts the names again only once the configuration has changed. */
class SortedNames {
  #offset: LogOffset | undefined;
  #names: readonly AdapterId[] = [];

  of(configuration: Configuration): readonly AdapterId[] {
    if (this.#offset !== configuration.offset) {
      this.#offset = configuration.offset;
      this.#names = [...configuration.adapters.keys()].sort();
    }
    return this.#names;
  }
}

/** Counts the names that do not come after the given one. */
function countUpTo(names: readonly string[], given: string): number {
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

function badPage(): Failure {
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "caller",
    message: `Query limit must be a whole number from 1 to ${MAXIMUM_PAGE}.`,
    outcome: "not_run",
  };
}

function noAdapter(name: string): Failure {
  return {
    reason: "not_found",
    step: "resolve_adapter",
    peer: "caller",
    message: `Adapter "${name}" is not configured.`,
    outcome: "not_run",
  };
}
