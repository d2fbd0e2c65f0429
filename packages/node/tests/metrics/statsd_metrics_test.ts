import { LoggerFactory, StatsdMetrics } from "@foxtailwind/node";
import test from "ava";
import { createSocket } from "node:dgram";
import { once } from "node:events";

const LOG_LEVEL_SILENT = -999;

test("counts are sent to statsd with the node's tags", async (t) => {
  const server = createSocket("udp4");
  server.bind(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const metrics = new StatsdMetrics({
    address: { host: "127.0.0.1", port: server.address().port },
    tags: { node: "node-1" },
    logger: new LoggerFactory("human", LOG_LEVEL_SILENT).forComponent(
      "metrics",
    ),
  });
  const received = once(server, "message");
  metrics.count("requests", { route: "completions", outcome: "whole" });
  metrics.count("requests", { route: "completions", outcome: "not_run" });
  await metrics.close();
  const [packet] = await received as [Buffer];
  t.snapshot(packet.toString().trimEnd().split("\n"));
});
