import test from "ava";
import {
  askForCompletion,
  describeAnswer,
  startCallerCluster,
} from "../../helpers/caller.ts";

test("an answer from the wrong adapter is never forwarded", async (t) => {
  const cluster = await startCallerCluster(t);
  for (const stream of [true, false]) {
    cluster.engines[0]?.setFaults({ wrongAdapterNextGenerations: 1 });
    const answer = await askForCompletion(cluster.url(), {
      fields: { stream },
    });
    t.like(await describeAnswer(answer), {
      status: 502,
      body: { outcome: "ran", error: { code: "mismatch" } },
    });
  }
});

test("an interrupted stream ends with a typed error", async (t) => {
  const cluster = await startCallerCluster(t);
  cluster.engines[0]?.setFaults({
    dropNextStreams: 100,
    dropStreamAfterTokens: 3,
  });
  const answer = await askForCompletion(cluster.url(), {
    fields: { stream: true, max_tokens: 500 },
  });
  const text = await answer.text();
  t.false(text.includes("[DONE]"));
  if (answer.status !== 200) {
    t.like(JSON.parse(text), { outcome: "unknown" });
    return;
  }
  t.regex(text, /event: error\ndata: \{"error":.*"outcome":"unknown"/);
});
