import { type LogFormat, LoggerFactory } from "@foxtailwind/node";
import test from "ava";

const LEVEL_INFO = 3;
const TIME = /\d{4}-\d{2}-\d{2}T[\d:.]+Z/g;

function formatLines(format: LogFormat): string {
  let text = "";
  const loggers = new LoggerFactory(format, LEVEL_INFO, (line) => {
    text += line;
  });
  const logger = loggers.forComponent("callers");
  logger.info("A caller was cut.", { request: "r-1", peer: "caller" });
  logger.warn("A value has spaces.", { reason: 'too "slow" to read' });
  logger.error("A field is not there.", { cause: undefined, left: 0 });
  logger.debug("Nobody sees this.");
  loggers.forComponent("daemon").info("Ready.");
  return text.replaceAll(TIME, "(time)");
}

test("human-readable lines have a prefix, a sentence and fields", (t) => {
  t.snapshot(formatLines("human"));
});

test("JSON lines contain the fields as members", (t) => {
  const lines = formatLines("json").trimEnd().split("\n");
  t.snapshot(lines.map((line) => JSON.parse(line) as unknown));
});
