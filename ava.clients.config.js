import shared from "./ava.config.js";

export default {
  ...shared,
  files: ["platform/tests/clients/*_test.ts"],
  // The tests start processes with crowds of clients: one at a time.
  concurrency: 1,
  serial: true,
  timeout: "120s",
};
