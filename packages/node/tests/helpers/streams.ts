import * as z from "zod";
import { type Deployment, until } from "./deployment.ts";

/**
 * Publishes the class "drafting" and the adapter "adapter-1", and waits until
 * all nodes have them.
 * @param deployment The deployment.
 */
export async function publishAdapter(deployment: Deployment): Promise<void> {
  await fetch(`${deployment.urls[0]}/v1/operators/configuration`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      changes: [
        {
          kind: "set_class",
          class: "drafting",
          target: { firstTokenMilliseconds: 60_000 },
        },
        {
          kind: "set_adapter",
          adapter: "adapter-1",
          model: "base",
          versions: ["v1"],
          current: "v1",
        },
      ],
    }),
  });
  await until(() =>
    deployment.daemons.every(({ follower }) =>
      follower.configuration.adapters.size === 1
    )
  );
}

/**
 * Requests a streamed completion, retrying until a node controls the engine.
 * @param url The node's address.
 * @param tokens How many tokens to generate.
 * @returns The response, whose body streams.
 */
export async function streamCompletion(
  url: string,
  tokens: number,
): Promise<Response> {
  for (;;) {
    const answer = await fetch(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-foxtailwind-class": "drafting",
      },
      body: JSON.stringify({
        model: "adapter-1",
        messages: [{ role: "user", content: "Draft a note." }],
        max_tokens: tokens,
        stream: true,
      }),
    });
    if (answer.ok) return answer;
    await answer.text();
  }
}

/**
 * Reads a stream of server-sent events to its end.
 * @param answer The answer.
 * @returns The events' data.
 */
export async function readEvents(answer: Response): Promise<readonly string[]> {
  const text = await answer.text();
  return text.split("\n").filter((line) => line.startsWith("data: "))
    .map((line) => line.slice("data: ".length));
}

const deltaSchema = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().optional() }),
  })),
});

/**
 * Counts the tokens of a stream; engine stand-ins end each with a space.
 * @param events The events' data.
 * @returns The number of tokens.
 */
export function countTokens(events: readonly string[]): number {
  const text = events.filter((event) => event !== "[DONE]").flatMap((event) =>
    deltaSchema.parse(JSON.parse(event)).choices.map((choice) =>
      choice.delta.content ?? ""
    )
  ).join("");
  return text.split(" ").filter((word) => word !== "").length;
}
