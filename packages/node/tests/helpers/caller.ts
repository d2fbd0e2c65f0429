import type { ExecutionContext } from "ava";
import {
  startTestCluster,
  type TestCluster,
  type TestClusterSize,
} from "./test_cluster.ts";

/** The class and the adapters that {@link startCallerCluster} publishes. */
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
 * Starts a cluster with a class and two adapters, closed after its test.
 * @param t The test.
 * @param size What differs from one node and one engine.
 * @returns The cluster.
 */
export async function startCallerCluster(
  t: ExecutionContext,
  size: Partial<TestClusterSize> = {},
): Promise<TestCluster> {
  const cluster = await startTestCluster({ nodes: 1, engines: 1, ...size });
  t.teardown(() => cluster.close());
  await cluster.publish(CALLER_CHANGES);
  return cluster;
}

/** A request of a caller: what differs from an ordinary one. */
export interface CallerRequest {
  readonly headers?: Readonly<Record<string, string>>;
  /** Fields of the body that are added or replaced. */
  readonly fields?: Readonly<Record<string, unknown>>;
  /** The body as it is, in place of the ordinary one. */
  readonly text?: string;
  readonly signal?: AbortSignal;
}

/**
 * Asks a node for a completion.
 * @param url The node's address.
 * @param request What differs from an ordinary request.
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
 * Gives an answer in a form that is the same in each run, for snapshots.
 * @param answer The answer.
 * @returns Status, type, hint and body, without ids.
 */
export async function describeAnswer(answer: Response): Promise<object> {
  const text = (await answer.text()).replaceAll(UUID, "(id)");
  const hint = answer.headers.get("retry-after");
  return {
    status: answer.status,
    contentType: answer.headers.get("content-type"),
    ...(hint !== null && { retryAfter: hint }),
    body: withoutRepetition(JSON.parse(text) as object),
  };
}

/** Leaves out of `error` what the problem around it says with equal words. */
function withoutRepetition(body: object): object {
  if (!("error" in body) || typeof body.error !== "object") return body;
  const own = Object.entries(body.error ?? {}).filter(([name, value]) =>
    Reflect.get(body, name) !== value
  );
  return { ...body, error: Object.fromEntries(own) };
}

/** A request's id. */
export const UUID = /[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}/g;
