import { RelayMetrics } from "@foxtailwind/node/relay";
import test from "ava";

test("records that were left out are counted by topic and reason", async (t) => {
  const metrics = new RelayMetrics({
    requestsInProgress: () => 0,
    configurationVersion: () => 0,
    enginesOwned: () => 0,
    nodesAlive: () => 0,
  });
  metrics.recordSkipped("servers", "json");
  metrics.recordSkipped("servers", "json");
  metrics.recordSkipped("nodes", "fields");
  const lines = (await metrics.text()).split("\n")
    .filter((line) => line.startsWith("foxtailwind_records_skipped_total"));
  t.deepEqual(lines, [
    'foxtailwind_records_skipped_total{topic="servers",reason="json"} 2',
    'foxtailwind_records_skipped_total{topic="nodes",reason="fields"} 1',
  ]);
});
