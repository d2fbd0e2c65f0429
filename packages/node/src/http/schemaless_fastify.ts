import Fastify, {
  type FastifyHttpOptions,
  type FastifyInstance,
} from "fastify";
import type { Server } from "node:http";

/**
 * Makes a Fastify that serves routes without schemas only: its compilers of
 * schemas are a fifth of the program's code, and are never loaded.
 * @param options Fastify's own options.
 * @returns The instance.
 */
export function schemalessFastify(
  options: Omit<FastifyHttpOptions<Server>, "schemaController" | "logger"> = {},
): FastifyInstance {
  return Fastify({
    ...options,
    logger: false,
    schemaController: {
      compilersFactory: { buildValidator: refuse, buildSerializer: refuse },
    },
  });
}

function refuse(): never {
  throw new TypeError("This server compiles no schemas.");
}
