import test from "ava";
import { askForCompletion, startCallerCluster } from "../../helpers/caller.ts";
import { type TestCluster, until } from "../../helpers/test_cluster.ts";

const LONG_ANSWER_TOKENS = 30_000;

function countCancelled(cluster: TestCluster): number {
  return cluster.engines.reduce(
    (sum, engine) => sum + engine.readCounters().generationsCancelled,
    0,
  );
}

for (const stream of [true, false]) {
  const kind = stream ? "streamed" : "whole";
  test(`a caller that disconnects from a ${kind} answer cancels it at the engine`, async (t) => {
    const cluster = await startCallerCluster(t, { nodes: 2 });
    for (const node of cluster.nodes) {
      const before = countCancelled(cluster);
      const leave = new AbortController();
      const asked = askForCompletion(node.url, {
        fields: { stream, max_tokens: LONG_ANSWER_TOKENS },
        signal: leave.signal,
      }).catch(() => undefined);
      if (stream) await (await asked)?.body?.getReader().read();
      else await until(() => isGenerating(cluster));
      leave.abort();
      await asked;
      await until(() => countCancelled(cluster) > before);
    }
    t.is((await askForCompletion(cluster.url())).status, 200);
  });
}

async function isGenerating(cluster: TestCluster): Promise<boolean> {
  const [engine] = cluster.engines;
  const answer = await fetch(`${engine?.address ?? ""}/v1/state`);
  const state = await answer.json() as { readonly running: unknown[] };
  return state.running.length > 0;
}

test("a caller that reads late gets the complete answer", async (t) => {
  const cluster = await startCallerCluster(t, {
    engineSettings: ["step_base_milliseconds=0", "tokens_per_frame=64"],
  });
  const answer = await askForCompletion(cluster.url(), {
    fields: { stream: true, max_tokens: 2_000 },
  });
  const [engine] = cluster.engines;
  await until(() => (engine?.readCounters().tokens ?? 0) > 1_500);
  const text = await answer.text();
  t.is(text.match(/stain-notes@v2#/g)?.length, 2_000);
  t.true(text.endsWith("data: [DONE]\n\n"));
});

test("an answer above the size limit ends with an error event", async (t) => {
  const cluster = await startCallerCluster(t, {
    settings: { limits: { answer_bytes: "1024" } },
  });
  const answer = await askForCompletion(cluster.url(), {
    fields: { stream: true, max_tokens: 1_000 },
  });
  const text = await answer.text();
  t.false(text.includes("[DONE]"));
  const last = text.trimEnd().split("\n\n").at(-1) ?? "";
  t.regex(last, /^event: error\ndata: \{"error":\{"message":"The answer/);
  await until(() => countCancelled(cluster) > 0);
});
