import {
  type HistogramReport,
  type HistogramWindow,
  MergedHistograms,
  partsOf,
  type RequestId,
} from "@foxtailwind/core";
import type { telemetry } from "@foxtailwind/protocol";
import { setImmediate as letOthersRun } from "node:timers/promises";
import { toExplanationMessage } from "./explanation_messages.ts";
import { fromHistogramsAnswer } from "./histogram_messages.ts";
import type { LocalTelemetry } from "./local_telemetry.ts";
import type { NodeAnswer, PeerCollector } from "./peer_collector.ts";

/** Whether a node answered, and if not, why. */
export interface NodeReach {
  readonly node: string;
  readonly answered: boolean;
  readonly reason?: string;
}

/** Histograms of all nodes that answered. */
export interface CollectedHistograms {
  readonly nodes: readonly NodeReach[];
  readonly merged: MergedHistograms;
}

/** What the nodes saw of one request. */
export interface CollectedExplanation {
  readonly nodes: readonly NodeReach[];
  readonly found: readonly {
    readonly node: string;
    readonly explanation: telemetry.Explanation;
  }[];
}

/** Statuses of all nodes that answered. */
export interface CollectedStatus {
  readonly nodes: readonly NodeReach[];
  readonly statuses: readonly telemetry.StatusAnswer[];
}

/** What all nodes observe, collected from the one that is asked. */
export class DeploymentTelemetry {
  readonly #self: string;
  readonly #local: LocalTelemetry;
  readonly #peers: PeerCollector;

  constructor(parts: {
    readonly self: string;
    readonly local: LocalTelemetry;
    readonly peers: PeerCollector;
  }) {
    this.#self = parts.self;
    this.#local = parts.local;
    this.#peers = parts.peers;
  }

  /**
   * Adds the histograms of all nodes up.
   * @param window Which window.
   * @returns The sums, and which nodes are in them.
   */
  async histograms(
    window: HistogramWindow,
  ): Promise<CollectedHistograms> {
    const answers = await this.#peers.collect<telemetry.HistogramsAnswer>(
      (client, { metadata, options, callback }) =>
        client.readHistograms({ window }, metadata, options, callback),
    );
    const merged = new MergedHistograms();
    await addGently(merged, await this.#local.report(window));
    for (const answer of answers) {
      if (!answer.answered) continue;
      await addGently(merged, fromHistogramsAnswer(answer.answer));
    }
    return { nodes: this.#reach(answers), merged };
  }

  /**
   * Collects what the nodes saw of a request.
   * @param request The request.
   * @returns The explanations, the asked node's own first, then in the order
   * of the nodes' ids.
   */
  async explain(request: RequestId): Promise<CollectedExplanation> {
    const answers = await this.#peers.collect<telemetry.ExplainAnswer>(
      (client, { metadata, options, callback }) =>
        client.explain({ request }, metadata, options, callback),
    );
    const own = this.#local.explain(request);
    const explanations = answers.flatMap((answer) =>
      answer.answered && answer.answer.explanation !== undefined
        ? [{ node: answer.node, explanation: answer.answer.explanation }]
        : []
    ).toSorted((left, right) => left.node < right.node ? -1 : 1);
    const found = own === undefined ? explanations : [
      { node: this.#self, explanation: toExplanationMessage(own) },
      ...explanations,
    ];
    return { nodes: this.#reach(answers), found };
  }

  /**
   * Collects the statuses of all nodes.
   * @returns The statuses, the asked node's own first.
   */
  async status(): Promise<CollectedStatus> {
    const answers = await this.#peers.collect<telemetry.StatusAnswer>(
      (client, { metadata, options, callback }) =>
        client.readStatus({}, metadata, options, callback),
    );
    const others = answers.flatMap((answer) =>
      answer.answered ? [answer.answer] : []
    );
    return {
      nodes: this.#reach(answers),
      statuses: [this.#local.status(), ...others],
    };
  }

  #reach(answers: readonly NodeAnswer<unknown>[]): readonly NodeReach[] {
    const others = answers.map((answer) =>
      answer.answered
        ? { node: answer.node, answered: true }
        : { node: answer.node, answered: false, reason: answer.reason }
    );
    return [{ node: this.#self, answered: true }, ...others];
  }
}

async function addGently(
  merged: MergedHistograms,
  report: HistogramReport,
): Promise<void> {
  for (const part of partsOf(report)) {
    merged.addPart(part);
    await letOthersRun();
  }
}
