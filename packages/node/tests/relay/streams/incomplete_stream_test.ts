/**
 * A stream that ends inside an event, or before its first one, was broken off,
 * even if its answer ends in order. Callers got such streams as complete unless
 * only the end of the connection marked the end of the answer.
 */
import test from "ava";
import { rawCall } from "../helpers/raw_call.ts";
import { type RelayWorld, startWorld } from "../helpers/relay_world.ts";
import { CLOSE_DELIMITED_HEAD, serveRaw } from "../helpers/serve_raw.ts";

const HEAD =
  "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n";
const FIRST = "id: 1\ndata: a\n\n";
const REST = "id: 2\ndata: b\n\n";

/** How a body is framed. */
type Framing = (body: string) => string;

function inChunks(body: string): string {
  const chunk = body === ""
    ? ""
    : `${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n`;
  return `${HEAD}transfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`;
}

function withLength(body: string): string {
  return `${HEAD}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

const FRAMINGS: Readonly<Record<string, Framing>> = {
  "in chunks": inChunks,
  "with a length": withLength,
};

const INCOMPLETE_BODIES: Readonly<Record<string, string>> = {
  "inside its last event": `${FIRST}id: 2\nda`,
  "inside its first event": "id: 1\nda",
  "without its last empty line": `${FIRST}id: 2\ndata: b\n`,
  "with a line end of two bytes": `${FIRST}id: 2\r\ndata: b\r\n`,
  "between the bytes of a line end": `${FIRST}id: 2\r\ndata: b\r\n\r`,
  "without an event": "",
};

const COMPLETE_BODIES: Readonly<Record<string, string>> = {
  "line feeds": `${FIRST}${REST}`,
  "carriage returns": `${FIRST}${REST}`.replaceAll("\n", "\r"),
  "both": `${FIRST}${REST}`.replaceAll("\n", "\r\n"),
  "line feeds, and further empty lines": `${FIRST}${REST}\n\n\n`,
};

/** Starts servers that give these answers, one after the other. */
async function serveAnswers(
  t: Parameters<typeof serveRaw>[0],
  world: RelayWorld,
  answers: readonly string[],
): Promise<string[]> {
  const requests: string[] = [];
  for (const id of ["s1", "s2"]) {
    await serveRaw(t, world, id, (socket, request) => {
      requests.push(request);
      const answer = answers[requests.length - 1] ?? answers.at(-1) ?? "";
      if (answer.startsWith(CLOSE_DELIMITED_HEAD)) socket.end(answer);
      else socket.write(answer);
    });
  }
  return requests;
}

for (const [framing, frame] of Object.entries(FRAMINGS)) {
  for (const [end, body] of Object.entries(INCOMPLETE_BODIES)) {
    test(`a stream ${framing} that ends ${end} does not look complete`, async (t) => {
      const world = await startWorld(t);
      await serveAnswers(t, world, [frame(body)]);
      const answer = await rawCall(world.port, "/stream/a").ended;
      t.false(answer.looksComplete, answer.bytes);
      t.deepEqual(world.outcomes, ["broken_stream"]);
    });

    test(`a stream ${framing} that ends ${end} is resumed elsewhere`, async (t) => {
      const world = await startWorld(t);
      const hasFirst = body.startsWith(FIRST);
      const requests = await serveAnswers(t, world, [
        frame(body),
        frame(hasFirst ? REST : `${FIRST}${REST}`),
      ]);
      const answer = await rawCall(world.port, "/resumable/a").ended;
      t.is(answer.body, `${FIRST}${REST}`);
      t.true(answer.looksComplete);
      t.is(requests.length, 2);
      t.is(/^x-after: 1\r$/m.test(requests[1] ?? ""), hasFirst);
    });
  }

  for (const [lineEnds, body] of Object.entries(COMPLETE_BODIES)) {
    for (const path of ["/stream/a", "/resumable/a"]) {
      test(`a stream ${framing} with ${lineEnds} is complete on ${path}`, async (t) => {
        const world = await startWorld(t);
        await serveAnswers(t, world, [frame(body)]);
        const answer = await rawCall(world.port, path).ended;
        t.is(answer.body, body);
        t.true(answer.looksComplete);
        t.deepEqual(world.outcomes, ["answered"]);
      });
    }
  }
}

test("the rest of a stream that is resumed after its last event may be empty", async (t) => {
  const world = await startWorld(t);
  await serveAnswers(t, world, [inChunks("")]);
  const answer = await world.call("/resumable/a", {
    headers: { "x-last-event": "2" },
  });
  t.is(answer.status, 200);
  t.is(answer.bytes.toString(), "");
  t.deepEqual(world.outcomes, ["answered"]);
});

test("a stream that broke off after its last event is complete with an empty rest", async (t) => {
  const world = await startWorld(t);
  const answers = [inChunks(`${FIRST}${REST}`).slice(0, -5), inChunks("")];
  for (const id of ["s1", "s2"]) {
    await serveRaw(t, world, id, (socket) => {
      const answer = answers.shift() ?? "";
      if (answers.length > 0) socket.end(answer);
      else socket.write(answer);
    });
  }
  const answer = await rawCall(world.port, "/resumable/a").ended;
  t.is(answer.body, `${FIRST}${REST}`);
  t.true(answer.looksComplete);
});

const JSON_ANSWER = HEAD.replace("text/event-stream", "application/json") +
  'content-length: 7\r\n\r\n{"a":1}';

test("an answer that is no stream of events is complete by its framing", async (t) => {
  for (const path of ["/stream/a", "/resumable/a"]) {
    const world = await startWorld(t);
    await serveAnswers(t, world, [JSON_ANSWER]);
    const answer = await rawCall(world.port, path).ended;
    t.is(answer.body, '{"a":1}');
    t.true(answer.looksComplete);
  }
});

test("an answer that is no stream of events doesn't continue one", async (t) => {
  const world = await startWorld(t);
  await serveAnswers(t, world, [inChunks(`${FIRST}id: 2`), JSON_ANSWER]);
  const answer = await rawCall(world.port, "/resumable/a").ended;
  t.is(answer.body, FIRST);
  t.false(answer.looksComplete);
});

test("a server that ends a stream too soon, in order, is not taken for one that crashed", async (t) => {
  const world = await startWorld(t);
  const requests = await serveAnswers(t, world, [inChunks(`${FIRST}id: 2`)]);
  for (let call = 0; call < 8; call += 1) {
    await rawCall(world.port, "/resumable/a").ended;
  }
  t.is(requests.length, 16);
  t.deepEqual(new Set(world.outcomes), new Set(["broken_stream"]));
  const kinds = [...world.knowledge.workCounts.counts.keys()];
  t.deepEqual(kinds.filter((kind) => kind.startsWith("probe_")), []);
});
