import { postJson } from "./stand_in_process.ts";

/** A request class of the demonstration and its share of the load. */
export interface DemoClass {
  readonly name: string;
  readonly firstTokenMilliseconds: number;
  readonly loadShare: number;
  readonly maximumTokens: number;
}

/** The request classes of the demonstration. */
export const DEMO_CLASSES: readonly DemoClass[] = [
  {
    name: "drafting",
    firstTokenMilliseconds: 1_200,
    loadShare: 0.5,
    maximumTokens: 30,
  },
  {
    name: "summarising",
    firstTokenMilliseconds: 3_000,
    loadShare: 0.3,
    maximumTokens: 60,
  },
  {
    name: "batch-notes",
    firstTokenMilliseconds: 60_000,
    loadShare: 0.2,
    maximumTokens: 80,
  },
];

const CHANGES_PER_RECORD = 500;

/**
 * Publishes classes and adapters through a node's operator interface.
 * @param nodeUrl The `http://` URL of the node.
 * @param adapterCount The number of adapters to publish.
 */
export async function publishDemoConfiguration(
  nodeUrl: string,
  adapterCount: number,
): Promise<void> {
  const changes: object[] = DEMO_CLASSES.map((demoClass) => ({
    kind: "set_class",
    class: demoClass.name,
    target: { firstTokenMilliseconds: demoClass.firstTokenMilliseconds },
  }));
  for (let adapterIndex = 0; adapterIndex < adapterCount; adapterIndex += 1) {
    changes.push({
      kind: "set_adapter",
      adapter: `adapter-${adapterIndex}`,
      model: "base",
      versions: ["v1"],
      current: "v1",
    });
  }
  for (let start = 0; start < changes.length; start += CHANGES_PER_RECORD) {
    await postJson(`${nodeUrl}/v1/operators/configuration`, {
      changes: changes.slice(start, start + CHANGES_PER_RECORD),
    });
  }
}
