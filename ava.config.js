export default {
  files: [
    "packages/*/tests/**/*_test.ts",
    "platform/tests/**/*_test.ts",
    // Run by themselves, with ava.clients.config.js.
    "!platform/tests/clients/**",
  ],
  extensions: { ts: "module" },
  nodeArguments: ["--import=tsx", "--conditions=foxtailwind-source"],
  environmentVariables: { TSX_TSCONFIG_PATH: "tsconfig.base.json" },
  workerThreads: false,
  timeout: "60s",
};
