import type { ExecutionContext } from "ava";
import {
  startTestCluster,
  type TestCluster,
  type TestClusterOptions,
} from "./test_cluster.ts";

/** The class and adapters that {@link startCallerCluster} publishes. */
export const CALLER_CHANGES = [
  {
    kind: "set_class",
    class: "drafting",
    target: { firstTokenMilliseconds: 5_000 },
  },
  {
    kind: "set_adapter",
    adapter: "stain-notes",
    model: "base",
    versions: ["v1", "v2"],
    current: "v2",
  },
  {
    kind: "set_adapter",
    adapter: "job-sheets",
    model: "base",
    versions: ["v1"],
    current: "v1",
  },
] as const;

/**
 * Starts a cluster with a class and two adapters; closed after the test.
 * @param t The test.
 * @param size Options that override one node and one engine.
 * @returns The cluster.
 */
export async function startCallerCluster(
  t: ExecutionContext,
  size: Partial<TestClusterOptions> = {},
): Promise<TestCluster> {
  const cluster = await startTestCluster({ nodes: 1, engines: 1, ...size });
  t.teardown(() => cluster.close());
  await cluster.publish(CALLER_CHANGES);
  return cluster;
}

/** Overrides of the default completion request. */
export interface CallerRequest {
  readonly headers?: Readonly<Record<string, string>>;
  /** Body fields to add or replace. */
  readonly fields?: Readonly<Record<string, unknown>>;
  /** The raw body, which replaces the default one. */
  readonly text?: string;
  readonly signal?: AbortSignal;
}

/**
 * Requests a completion from a node.
 * @param url The node's address.
 * @param request Overrides of the default request.
 * @returns The answer.
 */
export async function askForCompletion(
  url: string,
  request: CallerRequest = {},
): Promise<Response> {
  return await fetch(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "x-foxtailwind-class": "drafting",
      ...request.headers,
    },
    body: request.text ?? JSON.stringify({
      model: "stain-notes",
      messages: [{ role: "user", content: "Red wine on wool." }],
      max_tokens: 5,
      ...request.fields,
    }),
    ...(request.signal !== undefined && { signal: request.signal }),
  });
}

/**
 * Converts a response to a form that is stable between runs, for snapshots.
 * @param answer The response.
 * @returns Status, content type, Retry-After and body, without ids.
 */
export async function describeAnswer(answer: Response): Promise<object> {
  const text = (await answer.text()).replaceAll(UUID, "(id)");
  const hint = answer.headers.get("retry-after");
  return {
    status: answer.status,
    contentType: answer.headers.get("content-type"),
    ...(hint !== null && { retryAfter: hint }),
    body: withoutRepeatedMembers(JSON.parse(text) as object),
  };
}

/** Omits members of `error` that equal those of the enclosing problem. */
function withoutRepeatedMembers(body: object): object {
  if (!("error" in body) || typeof body.error !== "object") return body;
  const own = Object.entries(body.error ?? {}).filter(([name, value]) =>
    Reflect.get(body, name) !== value
  );
  return { ...body, error: Object.fromEntries(own) };
}

/** Matches a request's id. */
export const UUID = /[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}/g;
