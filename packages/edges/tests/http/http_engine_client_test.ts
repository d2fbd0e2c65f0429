import {
  createDispatcher,
  type GenerationFrame,
  hashPromptPrefixes,
  HttpEngineClient,
} from "@foxtailwind/edges";
import test, { type ExecutionContext } from "ava";
import type { RequestListener } from "node:http";
import { createGenerateCall } from "../helpers/calls.ts";
import { CollectingSink } from "../helpers/collecting_sink.ts";
import { findClosedAddress, startRawServer } from "../helpers/raw_server.ts";

function createClient(
  t: ExecutionContext,
  baseAddress: string,
): HttpEngineClient {
  const dispatcher = createDispatcher();
  t.teardown(() => dispatcher.destroy());
  return new HttpEngineClient({
    baseAddress,
    dispatcher,
    peer: "engine-1",
    cancelGraceMilliseconds: 10,
  });
}

async function generateWith(
  t: ExecutionContext,
  answer: RequestListener,
): Promise<CollectingSink> {
  const server = await startRawServer(answer);
  t.teardown(server.close);
  const sink = new CollectingSink();
  createClient(t, server.address).generate(createGenerateCall("r"), sink);
  await sink.ended;
  return sink;
}

function frameLine(sequence: number): string {
  const { request, attempt, adapter } = createGenerateCall("r");
  const frame: GenerationFrame = {
    request,
    attempt,
    sequence,
    tokens: ["grüße ", "☂"],
    adapter,
  };
  return `${JSON.stringify(frame)}\n`;
}

test("a generation whose connection is refused has not run", async (t) => {
  const sink = new CollectingSink();
  createClient(t, await findClosedAddress()).generate(
    createGenerateCall("r"),
    sink,
  );
  const failure = (await sink.ended)._unsafeUnwrapErr();
  t.like(failure, {
    reason: "unavailable",
    step: "generate",
    peer: "engine-1",
    outcome: "not_run",
  });
});

test("a failure that the engine reports is returned unchanged", async (t) => {
  const sink = await generateWith(t, (_request, response) => {
    response.writeHead(429).end(JSON.stringify({
      reason: "overloaded",
      message: "Too many",
      outcome: "not_run",
      retryAfterMilliseconds: 7,
    }));
  });
  const failure = (await sink.ended)._unsafeUnwrapErr();
  t.like(failure, { outcome: "not_run", retryAfterMilliseconds: 7 });
});

test("an error response without a failure has an unknown outcome", async (t) => {
  const sink = await generateWith(t, (_request, response) => {
    response.writeHead(503).end("<html>");
  });
  const failure = (await sink.ended)._unsafeUnwrapErr();
  t.like(failure, { reason: "unavailable", outcome: "unknown" });
});

test("a connection lost after the request was sent has an unknown outcome", async (t) => {
  const sink = await generateWith(t, (request) => request.socket.destroy());
  const failure = (await sink.ended)._unsafeUnwrapErr();
  t.like(failure, { reason: "unavailable", outcome: "unknown" });
});

test("a stream that stops before its end line fails", async (t) => {
  const sink = await generateWith(t, (_request, response) => {
    response.writeHead(200).end(frameLine(0));
  });
  const failure = (await sink.ended)._unsafeUnwrapErr();
  t.is(sink.frames.length, 1);
  t.like(failure, { reason: "unavailable", outcome: "unknown" });
});

test("a line that is neither a frame nor an end is corrupt", async (t) => {
  for (const line of ["[", "{}", '{"sequence":0,"tokens":[1]}']) {
    const sink = await generateWith(t, (_request, response) => {
      response.writeHead(200).write(`${frameLine(0)}${line}\n${frameLine(2)}`);
    });
    const failure = (await sink.ended)._unsafeUnwrapErr();
    t.like(failure, { reason: "corrupt", outcome: "unknown" });
    t.is(sink.frames.length, 1);
  }
});

test("frames are parsed correctly when their bytes arrive one by one", async (t) => {
  const sink = await generateWith(t, (_request, response) => {
    response.writeHead(200);
    for (const byte of Buffer.from(frameLine(0) + frameLine(2))) {
      response.write(Buffer.of(byte));
    }
    response.end();
  });
  t.is(sink.text, "grüße ☂grüße ☂");
});

test("a generation cancelled before it is sent has not run", async (t) => {
  let requests = 0;
  const server = await startRawServer((_request, response) => {
    requests += 1;
    response.end();
  });
  t.teardown(server.close);
  const client = createClient(t, server.address);
  const sink = new CollectingSink();
  client.generate(createGenerateCall("r"), sink).cancel();
  const failure = (await sink.ended)._unsafeUnwrapErr();
  t.like(failure, { reason: "cancelled", outcome: "not_run" });
  await client.readState();
  t.is(sink.endCount, 1);
  t.true(requests <= 1);
});

test("a cancel that the engine ignores has an unknown outcome", async (t) => {
  const server = await startRawServer((request, response) => {
    if (request.url === "/v1/cancel") response.end('{"cancelled":false}');
    else response.writeHead(200).write(frameLine(0));
  });
  t.teardown(server.close);
  const sink = new CollectingSink();
  const handle = createClient(t, server.address).generate(
    createGenerateCall("r"),
    sink,
  );
  await sink.waitForFrames(1);
  handle.cancel();
  const failure = (await sink.ended)._unsafeUnwrapErr();
  t.like(failure, { reason: "cancelled", outcome: "unknown" });
});

test("a response that does not match its schema is corrupt", async (t) => {
  const server = await startRawServer((_request, response) => {
    response.end('{"engine":1}');
  });
  t.teardown(server.close);
  const state = await createClient(t, server.address).readState();
  t.like(state._unsafeUnwrapErr(), { reason: "corrupt", step: "read_engine" });
});

test("a paused generation applies backpressure to the engine", async (t) => {
  const frames = 20_000;
  let written = 0;
  const server = await startRawServer((_request, response) => {
    response.writeHead(200);
    const writeMore = (): void => {
      while (written < frames) {
        written += 1;
        if (!response.write(frameLine(written))) {
          response.once("drain", writeMore);
          return;
        }
      }
      response.end();
    };
    writeMore();
  });
  t.teardown(server.close);
  const sink = new CollectingSink();
  const handle = createClient(t, server.address).generate(
    createGenerateCall("r"),
    sink,
  );
  await sink.waitForFrames(1);
  handle.pause();
  let before = -1;
  while (before !== written) {
    before = written;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  t.true(sink.frames.length < frames);
  handle.unpause();
  await sink.ended;
  t.is(sink.frames.length, frames);
});

test("the same prompt prefix has the same hash", (t) => {
  const system = { role: "system", content: "Be brief" } as const;
  const first = hashPromptPrefixes([system, { role: "user", content: "one" }]);
  const other = hashPromptPrefixes([system, { role: "user", content: "two" }]);
  t.is(first[0]?.hash, other[0]?.hash);
  t.not(first[1]?.hash, other[1]?.hash);
});
