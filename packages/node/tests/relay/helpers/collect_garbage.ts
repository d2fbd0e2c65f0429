import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Finalizers may run in a later turn of the event loop than the collection. */
const COLLECTION_TURNS = 3;

/** Forces garbage collection, which otherwise happens at an unknown time. */
export async function collectGarbage(): Promise<void> {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  for (let turn = 0; turn < COLLECTION_TURNS; turn += 1) {
    collect();
    await sleep(1);
  }
}
