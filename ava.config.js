export default {
  files: ["packages/*/tests/**/*_test.ts"],
  extensions: { ts: "module" },
  nodeArguments: ["--import=tsx", "--conditions=foxtailwind-source"],
  workerThreads: false,
  timeout: "60s",
};
