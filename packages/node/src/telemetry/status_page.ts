import { readFileSync } from "node:fs";

const PAGE = new URL("../../static/status.html", import.meta.url);

/** The status page: one file that needs nothing else. */
export const STATUS_PAGE = readFileSync(PAGE, "utf8");
