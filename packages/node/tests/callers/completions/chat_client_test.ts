import test, { type ExecutionContext } from "ava";
import OpenAI from "openai";
import { startCallerCluster } from "../../helpers/caller.ts";

const MESSAGES = [{ role: "user", content: "Red wine on wool." }] as const;

async function startClient(t: ExecutionContext): Promise<OpenAI> {
  const cluster = await startCallerCluster(t, { nodes: 2, engines: 2 });
  return new OpenAI({
    baseURL: `${cluster.url()}/v1`,
    apiKey: "unused",
    maxRetries: 0,
    defaultHeaders: {
      "X-Foxtailwind-Class": "drafting",
      "X-Foxtailwind-Tenant": "van-7",
    },
  });
}

test("the OpenAI client gets a complete answer of the current version", async (t) => {
  const client = await startClient(t);
  const answer = await client.chat.completions.create({
    model: "stain-notes",
    messages: [...MESSAGES],
    max_completion_tokens: 3,
  });
  t.is(answer.model, "stain-notes@v2");
  t.is(
    answer.choices[0]?.message.content,
    "stain-notes@v2#0 stain-notes@v2#1 stain-notes@v2#2 ",
  );
  t.is(answer.choices[0]?.finish_reason, "length");
  t.is(answer.usage?.completion_tokens, 3);
});

test("the OpenAI client gets a stream of the requested version", async (t) => {
  const client = await startClient(t);
  const stream = await client.chat.completions.create({
    model: "stain-notes@v1",
    messages: [...MESSAGES],
    max_completion_tokens: 40,
    stream: true,
    stream_options: { include_usage: true },
  });
  let text = "";
  const finishes: unknown[] = [];
  let usage: OpenAI.CompletionUsage | null | undefined;
  for await (const chunk of stream) {
    const [choice] = chunk.choices;
    text += choice?.delta.content ?? "";
    if (choice?.finish_reason) finishes.push(choice.finish_reason);
    usage = chunk.usage ?? usage;
  }
  const expected = Array.from(
    { length: 40 },
    (_, place) => `stain-notes@v1#${place} `,
  );
  t.is(text, expected.join(""));
  t.deepEqual(finishes, ["length"]);
  t.is(usage?.completion_tokens, 40);
});

test("the OpenAI client gets a typed error with its outcome", async (t) => {
  const client = await startClient(t);
  const error = await t.throwsAsync(
    client.chat.completions.create({
      model: "no-such-adapter",
      messages: [...MESSAGES],
    }),
    { instanceOf: OpenAI.NotFoundError },
  );
  t.like(error.error, { outcome: "not_run", step: "resolve_adapter" });
  t.regex(error.message, /Adapter "no-such-adapter" is not configured/);
});

test("the OpenAI client lists the adapters", async (t) => {
  const client = await startClient(t);
  const names: string[] = [];
  for await (const model of client.models.list()) names.push(model.id);
  t.true(names.includes("stain-notes"));
  const found = await client.models.retrieve("stain-notes");
  t.like(found, { id: "stain-notes", current_version: "v2" });
});
