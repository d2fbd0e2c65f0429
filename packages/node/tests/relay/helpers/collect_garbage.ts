import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** What is collected late is told of in a later turn of the event loop. */
const TURNS = 3;

/** Collects all garbage of this process, as happens in time on its own. */
export async function collectGarbage(): Promise<void> {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  for (let turn = 0; turn < TURNS; turn += 1) {
    collect();
    await sleep(1);
  }
}
