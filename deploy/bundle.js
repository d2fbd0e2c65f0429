import { build } from "esbuild";

/** What Fastify and gRPC load only for parts of theirs that are not used. */
const EXTERNAL = [
  "@fastify/ajv-compiler",
  "@fastify/fast-json-stringify-compiler",
  "@grpc/proto-loader",
  "light-my-request",
  "pino",
];

/** CommonJS packages inside the bundle ask for Node's own modules. */
const BANNER = [
  "import { createRequire as makeRequire } from 'node:module';",
  "import { fileURLToPath as toPath } from 'node:url';",
  "import { dirname as toFolder } from 'node:path';",
  "const require = makeRequire(import.meta.url);",
  "const __filename = toPath(import.meta.url);",
  "const __dirname = toFolder(__filename);",
].join("\n");

await build({
  entryPoints: { "foxtailwind-node": "platform/src/main.ts" },
  outdir: "target",
  bundle: true,
  // An assertion that fails reads its line of the source to word its message.
  lineLimit: 200,
  // What is loaded after the start stands in files of its own.
  splitting: true,
  // Less to read at each start; names stay, for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: "node",
  target: "node20",
  format: "esm",
  conditions: ["foxtailwind-source"],
  tsconfig: "tsconfig.base.json",
  external: EXTERNAL,
  banner: { js: BANNER },
  logLevel: "warning",
});
