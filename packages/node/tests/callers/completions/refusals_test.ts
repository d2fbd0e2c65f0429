import test from "ava";
import { connect } from "node:net";
import {
  askForCompletion,
  type CallerRequest,
  describeAnswer,
  startCallerCluster,
} from "../../helpers/caller.ts";

const INVALID_REQUESTS: Readonly<Record<string, CallerRequest>> = {
  "malformed JSON": { text: "{" },
  "an empty body": { text: "" },
  "a list for a body": { text: "[]" },
  "a wrong content type": { headers: { "content-type": "text/plain" } },
  "no class": { headers: { "x-foxtailwind-class": "" } },
  "an unknown class": { headers: { "x-foxtailwind-class": "drafts" } },
  "an unknown adapter": { fields: { model: "stain-note" } },
  "an unknown version": { fields: { model: "stain-notes@v3" } },
  "two answers": { fields: { n: 2 } },
  "tools": { fields: { tools: [{ type: "function" }] } },
  "an unknown field": { fields: { max_token: 5 } },
  "no messages": { fields: { messages: [] } },
  "a wrong role": { fields: { messages: [{ role: "tool", content: "x" }] } },
  "several wrong fields": { fields: { max_tokens: 0, stream: "yes" } },
  "too long a message": {
    fields: {
      messages: [{ role: "user", content: "x".repeat(1_048_577) }],
    },
  },
  "too large a body": { text: `"${"x".repeat(5 * 1_024 * 1_024)}"` },
};

test("invalid requests return problem details and the node keeps serving", async (t) => {
  const cluster = await startCallerCluster(t);
  for (const [name, request] of Object.entries(INVALID_REQUESTS)) {
    const answer = await askForCompletion(cluster.url(), request);
    t.snapshot(await describeAnswer(answer), name);
  }
  const answer = await askForCompletion(cluster.url());
  t.is(answer.status, 200);
});

test("unknown routes and methods return problem details", async (t) => {
  const cluster = await startCallerCluster(t, { engines: 0 });
  const path = await fetch(`${cluster.url()}/v1/none`);
  t.snapshot(await describeAnswer(path), "path");
  const method = await fetch(`${cluster.url()}/v1/chat/completions`);
  t.snapshot(await describeAnswer(method), "method");
});

test("sampling fields are ignored and listed in a response header", async (t) => {
  const cluster = await startCallerCluster(t);
  for (const stream of [false, true]) {
    const answer = await askForCompletion(cluster.url(), {
      fields: { temperature: 0.2, seed: 1, stop: null, n: 1, stream },
    });
    t.is(answer.status, 200);
    t.is(answer.headers.get("x-foxtailwind-ignored"), "temperature, seed");
    await answer.text();
  }
});

test("malformed HTTP and ambiguous headers return problem details", async (t) => {
  const cluster = await startCallerCluster(t, { engines: 0 });
  const sent = {
    "no HTTP": "HELLO\r\n\r\n",
    "a large header": `GET /healthz HTTP/1.1\r\nhost: x\r\nx: ${
      "y".repeat(20_000)
    }\r\n\r\n`,
    "two classes": "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" +
      "x-foxtailwind-class: drafting\r\nX-Foxtailwind-Class: batch\r\n" +
      "connection: close\r\ncontent-length: 0\r\n\r\n",
    "two lengths": "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" +
      "content-length: 1\r\ncontent-length: 2\r\n\r\nab",
  };
  for (const [name, text] of Object.entries(sent)) {
    const answer = await sendRaw(cluster.url(), text);
    t.snapshot(answer, name);
  }
  t.is((await fetch(`${cluster.url()}/healthz`)).status, 200);
});

/** Sends raw bytes; returns status line, type and body of the response. */
async function sendRaw(url: string, text: string): Promise<object> {
  const { hostname, port } = new URL(url);
  const socket = connect(Number(port), hostname);
  socket.write(text);
  let answer = "";
  for await (const piece of socket) answer += String(piece);
  const [head = "", body = ""] = answer.split("\r\n\r\n");
  return {
    status: head.split("\r\n")[0],
    contentType: /content-type: ([^\r]*)/i.exec(head)?.[1],
    body: JSON.parse(body) as unknown,
  };
}
