import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { EventStreamBody } from "@foxtailwind/node";

const PARTS = ["one ", "zwölf ", "漢字 🦊 "];
const LAST = "last";
const FULL_BODY = PARTS.join("") + LAST;

function respond(response: ServerResponse): void {
  const body = new EventStreamBody(response);
  body.start({ "content-type": "text/event-stream" });
  for (const part of PARTS) response.write(body.encodePart(part));
  body.end(LAST);
}

async function listen(t: ExecutionContext): Promise<number> {
  const server = createServer((_request, response) => {
    respond(response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

async function sendRaw(port: number, request: string): Promise<string> {
  const socket = connect(port, "127.0.0.1");
  socket.write(request);
  const pieces: Buffer[] = [];
  for await (const piece of socket) pieces.push(piece as Buffer);
  return Buffer.concat(pieces).toString();
}

function encodeChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

test("parts and end are chunked, and the connection is kept alive", async (t) => {
  const port = await listen(t);
  const fields = "host: node\r\n";
  const text = await sendRaw(
    port,
    `GET / HTTP/1.1\r\n${fields}\r\n` +
      `GET / HTTP/1.1\r\n${fields}connection: close\r\n\r\n`,
  );
  const answers = text.split("HTTP/1.1 200 OK\r\n").slice(1);
  t.is(answers.length, 2);
  const body = `${[...PARTS, LAST].map(encodeChunk).join("")}0\r\n\r\n`;
  for (const one of answers) {
    const [head = "", ...rest] = one.split("\r\n\r\n");
    t.regex(head, /^transfer-encoding: chunked$/m);
    t.is(rest.join("\r\n\r\n"), body);
  }
});

test("a standard client reads the complete chunked response", async (t) => {
  const port = await listen(t);
  const response = await fetch(`http://127.0.0.1:${port}/`);
  t.is(response.headers.get("content-type"), "text/event-stream");
  t.is(await response.text(), FULL_BODY);
});

test("an HTTP/1.0 caller gets the parts unchunked", async (t) => {
  const port = await listen(t);
  const text = await sendRaw(port, "GET / HTTP/1.0\r\n\r\n");
  const [head = "", body] = text.split("\r\n\r\n");
  t.notRegex(head, /transfer-encoding/i);
  t.is(body, FULL_BODY);
});
