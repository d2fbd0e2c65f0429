import { relayMutants, runRelaySoak } from "@foxtailwind/bench";
const [from, to, mutant] = process.argv.slice(2);
const made = relayMutants.find((m) => m.name === mutant)?.made;
for (let s = Number(from); s <= Number(to); s += 4) {
  const seeds = [0, 1, 2, 3].map((i) => s + i).filter((x) => x <= Number(to));
  const runs = await Promise.all(
    seeds.map((seed) => runRelaySoak({ seed, ...(made ? { made } : {}) })),
  );
  runs.forEach((r, i) => {
    const c = {};
    for (const b of r.record.broken) c[b.invariant] = (c[b.invariant] ?? 0) + 1;
    const left = r.record.sends.filter((x) => x.isLeaving).length,
      back = r.record.sends.filter((x) => x.retryAfter !== undefined).length;
    console.log(
      seeds[i],
      JSON.stringify(c),
      "calls",
      r.record.calls.length,
      "ok",
      r.orders,
      "leaving",
      left,
      "backoff",
      back,
      "stalls",
      Math.round(r.record.stalls.between(0, Infinity)),
    );
    for (const b of r.record.broken.slice(0, 2)) {
      if (!made) console.log(b.invariant, b.detail.slice(0, 1500));
    }
  });
}
process.exit(0);
