type SchemaName = string;

function json(name: SchemaName) {
  return {
    "application/json": { schema: { $ref: `#/components/schemas/${name}` } },
  };
}

function answers(description: string, name: SchemaName) {
  return {
    200: { description, content: json(name) },
    default: { $ref: "#/components/responses/Problem" },
  };
}

function query(name: string, schema: object) {
  return { name, in: "query", schema };
}

function pathName(name: string) {
  return { name, in: "path", required: true, schema: { type: "string" } };
}

function header(name: string, description: string, required = false) {
  const schema = { type: "string" };
  return { name, in: "header", required, description, schema };
}

const text = { type: "string" };

const REPEATING_HEADERS = [
  header("X-Foxtailwind-Not-Repeatable", "true: never sent twice."),
  header("Idempotency-Key", "The caller's key; runs at most once."),
];

const completions = {
  post: {
    operationId: "complete",
    summary: "Runs one completion, streamed or whole",
    parameters: [
      header("X-Foxtailwind-Class", "The class of work.", true),
      header("X-Foxtailwind-Tenant", "The tenant; default if left out."),
      ...REPEATING_HEADERS,
    ],
    requestBody: { required: true, content: json("CompletionRequest") },
    responses: {
      200: {
        description: "The answer, or a stream of chunks",
        headers: {
          "x-request-id": { schema: text },
          "x-foxtailwind-ignored": { schema: text },
        },
        content: {
          ...json("Completion"),
          "text/event-stream": {
            schema: { $ref: "#/components/schemas/CompletionChunk" },
          },
        },
      },
      default: { $ref: "#/components/responses/Problem" },
    },
  },
};

const models = {
  get: {
    operationId: "listModels",
    summary: "Lists the adapters in the order of their names",
    parameters: [
      query("limit", { type: "integer", minimum: 1, maximum: 1_000 }),
      query("after", { ...text, description: "last_id of the page before" }),
    ],
    responses: answers("A page", "ModelPage"),
  },
};

const model = {
  get: {
    operationId: "findModel",
    summary: "Describes one adapter",
    parameters: [pathName("model")],
    responses: answers("The adapter", "Model"),
  },
};

const addresses = {
  get: {
    operationId: "addresses",
    summary: "Names the nodes to use, best first, and for how long",
    parameters: [
      query("region", text),
      query("failure_domain", text),
      query("adapter", text),
      header("X-Foxtailwind-Failure-Domain", "As failure_domain."),
    ],
    responses: answers("The addresses", "Addresses"),
  },
};

function serviceCall(method: string, parameters: readonly object[]) {
  return {
    operationId: `${method}Service${parameters.length}`,
    summary: "Passes a call on to a server of a plain service",
    parameters: [
      ...parameters,
      ...REPEATING_HEADERS,
    ],
    responses: {
      default: {
        description: "The service's own answer, or a problem of the system",
      },
    },
  };
}

const SERVICE_METHODS = ["get", "put", "post", "delete", "patch"] as const;

function servicePath(parameters: readonly object[]) {
  return Object.fromEntries(
    SERVICE_METHODS.map((method) => [method, serviceCall(method, parameters)]),
  );
}

function plain(operationId: string, summary: string) {
  return {
    get: { operationId, summary, responses: answers(summary, "Status") },
  };
}

const openapi = {
  get: {
    operationId: "openapi",
    summary: "This document",
    responses: {
      200: {
        description: "This document",
        content: { "application/json": { schema: { type: "object" } } },
      },
    },
  },
};

/** Paths of the caller API. */
export const OPENAPI_PATHS = {
  "/v1/addresses": addresses,
  "/v1/chat/completions": completions,
  "/v1/models": models,
  "/v1/models/{model}": model,
  "/v1/services/{service}": servicePath([pathName("service")]),
  "/v1/services/{service}/{path}": servicePath([
    pathName("service"),
    pathName("path"),
  ]),
  "/v1/openapi.json": openapi,
  "/healthz": plain("health", "Answers while the process lives"),
  "/readyz": plain("ready", "Tells whether new work is welcome"),
} as const;
