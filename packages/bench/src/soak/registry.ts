import { runOwnershipSoak, type SoakRun } from "./ownership_soak.ts";

/** A randomised run that `npm run soak` repeats with many seeds. */
export interface Soak {
  readonly name: string;
  readonly run: (seed: number) => SoakRun | Promise<SoakRun>;
}

/** The soaks that there are. */
export const SOAKS: readonly Soak[] = [
  { name: "ownership", run: (seed) => runOwnershipSoak(seed) },
];
