import test from "ava";
import { describeAnswer, startCallerCluster } from "../helpers/caller.ts";

interface ModelPage {
  readonly data: readonly { readonly id: string }[];
  readonly last_id: string | null;
  readonly has_more: boolean;
}

test("pages list each adapter once, sorted by name", async (t) => {
  const cluster = await startCallerCluster(t, { engines: 0 });
  const names: string[] = [];
  let after = "";
  for (;;) {
    const answer = await fetch(
      `${cluster.url()}/v1/models?limit=7&after=${after}`,
    );
    const page = await answer.json() as ModelPage;
    names.push(...page.data.map(({ id }) => id));
    after = page.last_id ?? "";
    if (!page.has_more) break;
  }
  t.is(new Set(names).size, names.length);
  t.deepEqual(names, [...names].sort());
  t.true(names.includes("job-sheets"));
});

test("an invalid limit and an unknown adapter return problem details", async (t) => {
  const cluster = await startCallerCluster(t, { engines: 0 });
  for (const path of ["?limit=0", "?limit=1001", "/none"]) {
    const answer = await fetch(`${cluster.url()}/v1/models${path}`);
    t.snapshot(await describeAnswer(answer), path);
  }
});
