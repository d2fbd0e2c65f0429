import Fastify, {
  type FastifyHttpOptions,
  type FastifyInstance,
} from "fastify";
import type { Server } from "node:http";

/**
 * Creates a Fastify instance for routes without schemas. Its schema compilers
 * are a fifth of the program's code and are never loaded.
 * @param options Fastify options.
 * @returns The instance.
 */
export function schemalessFastify(
  options: Omit<FastifyHttpOptions<Server>, "schemaController" | "logger"> = {},
): FastifyInstance {
  return Fastify({
    ...options,
    logger: false,
    schemaController: {
      compilersFactory: {
        buildValidator: rejectSchema,
        buildSerializer: rejectSchema,
      },
    },
  });
}

function rejectSchema(): never {
  throw new TypeError("This server compiles no schemas.");
}
