/**
 * Writes the OpenAPI document of the caller API to the committed file.
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { OPENAPI_DOCUMENT } from "./openapi_document.ts";

const FOLDER = "docs/openapi";
const INDENT = 2;

mkdirSync(FOLDER, { recursive: true });
writeFileSync(
  `${FOLDER}/callers.json`,
  `${JSON.stringify(OPENAPI_DOCUMENT, null, INDENT)}\n`,
);
