import { OPENAPI_PATHS } from "./openapi_paths.ts";
import { OPENAPI_SCHEMAS } from "./openapi_schemas.ts";

/** The parts of an OpenAPI document that this package reads. */
export interface OpenapiDocument {
  readonly openapi: string;
  readonly info: object;
  /** Operations by path, then by method. */
  readonly paths: Readonly<Record<string, object>>;
  readonly components: object;
}

/** The caller API as an OpenAPI 3.1 document. */
export const OPENAPI_DOCUMENT: OpenapiDocument = {
  openapi: "3.1.0",
  info: {
    title: "foxtailwind, the callers' interface",
    version: "1",
    description: "Completions in the form of the chat-completions API, " +
      "plain services by path and method, and the addresses to use.",
  },
  paths: OPENAPI_PATHS,
  components: {
    schemas: OPENAPI_SCHEMAS,
    responses: {
      Problem: {
        description: "What went wrong, and whether the request ran",
        headers: {
          "retry-after": { schema: { type: "integer" } },
          "x-request-id": { schema: { type: "string" } },
        },
        content: {
          "application/problem+json": {
            schema: { $ref: "#/components/schemas/Problem" },
          },
        },
      },
    },
  },
};
