import { RequestContent } from "@foxtailwind/node/relay";
import test from "ava";
import { RelayWorld } from "../helpers/relay_world.ts";

const REQUEST_HEAD = {
  method: "POST",
  url: "/drafts/a",
  headers: { host: "one" },
};
const REQUEST_BODY = Buffer.from("prompt");

function digestOf(
  head: Partial<typeof REQUEST_HEAD>,
  body = REQUEST_BODY,
): string {
  return new RequestContent({ ...REQUEST_HEAD, ...head }, body).digest;
}

test("equal contents have equal digests, different contents different ones", (t) => {
  const headers = { host: "one", "x-id": "another" };
  t.is(digestOf({ headers }), digestOf({}));
  const others = [
    digestOf({ method: "PUT" }),
    digestOf({ url: "/drafts/b" }),
    digestOf({ headers: { host: "two" } }),
    digestOf({}, Buffer.from("prompts")),
  ];
  t.is(new Set([digestOf({}), ...others]).size, others.length + 1);
});

test("log lines of broken calls with the same content have the same digest", async (t) => {
  const lines: string[] = [];
  const world = new RelayWorld((line) => {
    lines.push(line);
  });
  world.configure();
  await world.addServer("s1", (request, response) => {
    request.resume();
    request.on("end", () => {
      response.destroy();
    });
  });
  await world.start(t);
  for (const id of ["r1", "r2"]) {
    await world.call("/once/a", {
      body: REQUEST_BODY,
      headers: { "x-id": id },
    });
  }
  const contents = lines.map((line) =>
    JSON.parse(line) as { readonly broke?: string; readonly content?: string }
  ).filter(({ broke }) => broke !== undefined).map(({ content }) => content);
  t.is(contents.length, 2);
  t.is(new Set(contents).size, 1);
  t.not(contents[0], undefined);
});
