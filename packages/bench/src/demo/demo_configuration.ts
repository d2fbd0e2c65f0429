import { postJson } from "./stand_in_process.ts";

/** A class of the demonstration, and how much of the load is of it. */
export interface DemoClass {
  readonly name: string;
  readonly firstTokenMilliseconds: number;
  readonly share: number;
  readonly maximumTokens: number;
}

/** The demonstration's classes. */
export const DEMO_CLASSES: readonly DemoClass[] = [
  {
    name: "drafting",
    firstTokenMilliseconds: 1_200,
    share: 0.5,
    maximumTokens: 30,
  },
  {
    name: "summarising",
    firstTokenMilliseconds: 3_000,
    share: 0.3,
    maximumTokens: 60,
  },
  {
    name: "batch-notes",
    firstTokenMilliseconds: 60_000,
    share: 0.2,
    maximumTokens: 80,
  },
];

const RECORD_CHANGES = 500;

/**
 * Publishes classes and adapters through a node, as an operator does.
 * @param node The node's `http://` address.
 * @param adapters How many adapters to publish.
 */
export async function publishDemoConfiguration(
  node: string,
  adapters: number,
): Promise<void> {
  const changes: object[] = DEMO_CLASSES.map((entry) => ({
    kind: "set_class",
    class: entry.name,
    target: { firstTokenMilliseconds: entry.firstTokenMilliseconds },
  }));
  for (let rank = 0; rank < adapters; rank += 1) {
    changes.push({
      kind: "set_adapter",
      adapter: `adapter-${rank}`,
      model: "base",
      versions: ["v1"],
      current: "v1",
    });
  }
  for (let from = 0; from < changes.length; from += RECORD_CHANGES) {
    await postJson(`${node}/v1/operators/configuration`, {
      changes: changes.slice(from, from + RECORD_CHANGES),
    });
  }
}
