import { readFileSync } from "node:fs";

const PAGE = new URL("../../static/status.html", import.meta.url);

/** The status page, a self-contained HTML file. */
export const STATUS_PAGE = readFileSync(PAGE, "utf8");
