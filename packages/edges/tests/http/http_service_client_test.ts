import { backendServerId } from "@foxtailwind/core";
import {
  createDispatcher,
  HttpServiceClient,
  type ServiceCall,
} from "@foxtailwind/edges";
import test, { type ExecutionContext } from "ava";
import type { Socket } from "node:net";
import { findClosedAddress, startRawServer } from "../helpers/raw_server.ts";

function createClient(t: ExecutionContext): HttpServiceClient {
  const dispatcher = createDispatcher();
  t.teardown(() => dispatcher.destroy());
  return new HttpServiceClient({ dispatcher });
}

function createCall(address: string): ServiceCall {
  return {
    server: backendServerId("server-1"),
    address: new URL(address).host,
    method: "POST",
    path: "/bookings?day=1",
    headers: [
      { name: "Connection", value: "close" },
      { name: "X-Many", value: "one" },
      { name: "X-Many", value: "two" },
    ],
    body: Buffer.from("body"),
    timeoutMilliseconds: 5_000,
  };
}

test("a response of any status is returned with its headers", async (t) => {
  const server = await startRawServer((request, response) => {
    response.writeHead(418, { "foxtailwind-leaving": "true" });
    response.end(`${request.url ?? ""} ${String(request.headers["x-many"])}`);
  });
  t.teardown(server.close);
  const signal = new AbortController().signal;
  const result = await createClient(t).call(createCall(server.address), signal);
  const answer = result._unsafeUnwrap();
  t.like(answer, { status: 418, leaving: true });
  t.is(Buffer.from(answer.body).toString(), "/bookings?day=1 one, two");
});

test("only a call whose connection could not be opened has not run", async (t) => {
  const signal = new AbortController().signal;
  const closed = createCall(await findClosedAddress());
  const refused = await createClient(t).call(closed, signal);
  t.is(refused._unsafeUnwrapErr().outcome, "not_run");
  const server = await startRawServer((request) => request.socket.destroy());
  t.teardown(server.close);
  const dropped = await createClient(t).call(
    createCall(server.address),
    signal,
  );
  t.is(dropped._unsafeUnwrapErr().outcome, "unknown");
});

test("an aborted call has an unknown outcome once it was sent", async (t) => {
  const abort = new AbortController();
  const server = await startRawServer(() => {
    abort.abort();
  });
  t.teardown(server.close);
  const late = await createClient(t).call(
    createCall(server.address),
    abort.signal,
  );
  t.like(late._unsafeUnwrapErr(), { reason: "cancelled", outcome: "unknown" });
  const early = await createClient(t).call(
    createCall(server.address),
    abort.signal,
  );
  t.like(early._unsafeUnwrapErr(), { reason: "cancelled", outcome: "not_run" });
});

test("a response that takes too long fails with a timeout", async (t) => {
  const server = await startRawServer(() => undefined);
  t.teardown(server.close);
  const call = { ...createCall(server.address), timeoutMilliseconds: 50 };
  const result = await createClient(t).call(call, new AbortController().signal);
  t.like(result._unsafeUnwrapErr(), { reason: "timeout", outcome: "unknown" });
});

const CRASHES: Readonly<Record<string, (socket: Socket) => void>> = {
  "at once": (socket) => {
    socket.resetAndDestroy();
  },
  "a moment later": (socket) => {
    setTimeout(() => socket.resetAndDestroy(), 30);
  },
};

for (const [moment, crash] of Object.entries(CRASHES)) {
  test(`a response without a length that is reset ${moment} is not complete`, async (t) => {
    const server = await startRawServer(({ socket }) => {
      socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf a bo");
      crash(socket);
    });
    t.teardown(server.close);
    const signal = new AbortController().signal;
    const result = await createClient(t).call(
      createCall(server.address),
      signal,
    );
    t.is(result._unsafeUnwrapErr().outcome, "unknown");
  });
}

test("a duplicate response is not returned for the next call", async (t) => {
  let arrivals = 0;
  const server = await startRawServer(({ socket }) => {
    arrivals += 1;
    const answer = (body: string) =>
      `HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n${body}`;
    // The second call finds a duplicate of the first response.
    if (arrivals === 1) socket.write(answer("first"));
    else socket.write(answer("first") + answer("again"));
  });
  t.teardown(server.close);
  const client = createClient(t);
  const { signal } = new AbortController();
  const bodies: string[] = [];
  for (const path of ["/one", "/two"]) {
    const result = await client.call(
      { ...createCall(server.address), path, headers: [] },
      signal,
    );
    const body = result.map((answer) => Buffer.from(answer.body).toString());
    bodies.push(body.unwrapOr("none"));
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  t.not(bodies[1], "first");
});
