import { type LogFormat, LoggerFactory } from "@foxtailwind/node";
import test from "ava";

const LEVEL_INFO = 3;
const TIME = /\d{4}-\d{2}-\d{2}T[\d:.]+Z/g;

function linesOf(format: LogFormat): string {
  let text = "";
  const loggers = new LoggerFactory(format, LEVEL_INFO, (line) => {
    text += line;
  });
  const logger = loggers.forPart("callers");
  logger.info("A caller was cut.", { request: "r-1", peer: "caller" });
  logger.warn("A value has spaces.", { reason: 'too "slow" to read' });
  logger.error("A field is not there.", { cause: undefined, left: 0 });
  logger.debug("Nobody sees this.");
  loggers.forPart("daemon").info("Ready.");
  return text.replaceAll(TIME, "(time)");
}

test("lines for people have a prefix, a sentence and fields", (t) => {
  t.snapshot(linesOf("human"));
});

test("JSON lines have the fields as members", (t) => {
  const lines = linesOf("json").trimEnd().split("\n");
  t.snapshot(lines.map((line) => JSON.parse(line) as unknown));
});
