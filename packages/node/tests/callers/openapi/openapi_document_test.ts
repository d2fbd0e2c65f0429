import { RequestMethod, type Type } from "@nestjs/common";
import test from "ava";
import { readFileSync } from "node:fs";
import { CALLER_CONTROLLERS, OPENAPI_DOCUMENT } from "@foxtailwind/node";

/** Routes of a plugin, which have no Nest route metadata. */
const PLUGIN_PATHS = [
  "/v1/services/{service}",
  "/v1/services/{service}/{path}",
];

function listRoutes(controller: Type): readonly string[] {
  const base = Reflect.getMetadata("path", controller) as string;
  const prototype = controller.prototype as Record<string, object>;
  return Object.getOwnPropertyNames(prototype).flatMap((name) => {
    const handler = prototype[name] as object;
    const method = Reflect.getMetadata("method", handler) as unknown;
    if (typeof method !== "number") return [];
    const own = Reflect.getMetadata("path", handler) as string;
    const path = [base, own].join("/").split("/").filter((part) => part !== "")
      .map((part) => part.replace(/^:(.*)$/, "{$1}")).join("/");
    return [`${RequestMethod[method]?.toLowerCase() ?? ""} /${path}`];
  });
}

test("the document describes exactly the routes of the caller API", (t) => {
  const described = Object.entries(OPENAPI_DOCUMENT.paths)
    .filter(([path]) => !PLUGIN_PATHS.includes(path))
    .flatMap(([path, item]) =>
      Object.keys(item).map((method) => `${method} ${path}`)
    );
  const served = CALLER_CONTROLLERS.flatMap(listRoutes);
  t.deepEqual(described.sort(), [...served].sort());
});

test("the committed document equals the served one", (t) => {
  const file = readFileSync("docs/openapi/callers.json", "utf8");
  t.deepEqual(
    JSON.parse(file),
    JSON.parse(JSON.stringify(OPENAPI_DOCUMENT)),
    "run: npm run openapi",
  );
});
