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

/** Whether a node answered, and the reason if it did not. */
export interface NodeReachability {
  readonly node: string;
  readonly answered: boolean;
  readonly reason?: string;
}

/** Merged histograms of all nodes that answered. */
export interface CollectedHistograms {
  readonly nodes: readonly NodeReachability[];
  readonly merged: MergedHistograms;
}

/** The nodes' explanations of one request. */
export interface CollectedExplanation {
  readonly nodes: readonly NodeReachability[];
  readonly found: readonly {
    readonly node: string;
    readonly explanation: telemetry.Explanation;
  }[];
}

/** Statuses of all nodes that answered. */
export interface CollectedStatus {
  readonly nodes: readonly NodeReachability[];
  readonly statuses: readonly telemetry.StatusAnswer[];
}

/** Collects telemetry from all nodes. */
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
   * Merges the histograms of all nodes.
   * @param window The histogram window.
   * @returns The merged histograms, and which nodes answered.
   */
  async histograms(
    window: HistogramWindow,
  ): Promise<CollectedHistograms> {
    const answers = await this.#peers.collect<telemetry.HistogramsAnswer>(
      (client, { metadata, options, callback }) =>
        client.readHistograms({ window }, metadata, options, callback),
    );
    const merged = new MergedHistograms();
    await addReport(merged, await this.#local.report(window));
    for (const answer of answers) {
      if (!answer.answered) continue;
      await addReport(merged, fromHistogramsAnswer(answer.answer));
    }
    return { nodes: this.#reachability(answers), merged };
  }

  /**
   * Collects the nodes' explanations of a request.
   * @param request The request.
   * @returns The explanations, this node's first, then sorted by node id.
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
    return { nodes: this.#reachability(answers), found };
  }

  /**
   * Collects the statuses of all nodes.
   * @returns The statuses, this node's first.
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
      nodes: this.#reachability(answers),
      statuses: [this.#local.status(), ...others],
    };
  }

  #reachability(
    answers: readonly NodeAnswer<unknown>[],
  ): readonly NodeReachability[] {
    const others = answers.map((answer) =>
      answer.answered
        ? { node: answer.node, answered: true }
        : { node: answer.node, answered: false, reason: answer.reason }
    );
    return [{ node: this.#self, answered: true }, ...others];
  }
}

async function addReport(
  merged: MergedHistograms,
  report: HistogramReport,
): Promise<void> {
  for (const part of partsOf(report)) {
    merged.addPart(part);
    await letOthersRun();
  }
}
