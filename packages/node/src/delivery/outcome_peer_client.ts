import type {
  ClaimVerdict,
  Failure,
  KeyClaim,
  NodeId,
} from "@foxtailwind/core";
import type { Vm } from "@foxtailwind/edges";
import { type KeyedRun, OutcomesClient } from "@foxtailwind/protocol";
import { credentials, Metadata, type ServiceError } from "@grpc/grpc-js";
import { err } from "neverthrow";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { KeyedResult } from "./keyed_execution.ts";
import {
  createUnsettledVerdict,
  fromKeyedOutcome,
  fromVerdictMessage,
  toClaimMessage,
} from "./outcome_messages.ts";

const CLAIM_TIMEOUT_MILLISECONDS = 8_000;
const RUN_TIMEOUT_MILLISECONDS = 600_000;

/** Sends keyed requests and key claims to other nodes. */
export class OutcomePeerClient {
  readonly #channels: PeerChannels;
  readonly #nodes: () => readonly Vm[];

  /**
   * @param channels The connections to the peers.
   * @param nodes Lists the currently known nodes, including leaving ones.
   */
  constructor(channels: PeerChannels, nodes: () => readonly Vm[]) {
    this.#channels = channels;
    this.#nodes = nodes;
  }

  /**
   * Forwards a request to the only node that may run its key.
   * @param node The node.
   * @param run The request and the incarnation that may run it.
   * @returns The outcome; unknown if the node is gone or does not answer.
   */
  run(node: NodeId, run: KeyedRun): Promise<KeyedResult> {
    const client = this.#client(node);
    if (client === undefined) {
      return Promise.resolve(err(unknownOutcome(node, "The node is gone.")));
    }
    const deadline = Date.now() + RUN_TIMEOUT_MILLISECONDS;
    return new Promise((resolve) => {
      client.runKeyed(run, new Metadata(), { deadline }, (error, answer) => {
        resolve(
          error === null
            ? fromKeyedOutcome(answer, node)
            : err(unknownOutcome(node, describeError(error))),
        );
      });
    });
  }

  /**
   * Claims a key through the node that gathers claims.
   * @param node The gathering node.
   * @param claim The claim.
   * @returns The verdict; refused if the node is gone or does not answer.
   */
  claim(node: NodeId, claim: KeyClaim): Promise<ClaimVerdict> {
    const client = this.#client(node);
    if (client === undefined) {
      return Promise.resolve(
        createUnsettledVerdict(node, "The gathering node is gone."),
      );
    }
    const deadline = Date.now() + CLAIM_TIMEOUT_MILLISECONDS;
    const batch = { claims: [toClaimMessage(claim)] };
    return new Promise((resolve) => {
      client.claim(batch, new Metadata(), { deadline }, (error, answer) => {
        resolve(
          error === null
            ? fromVerdictMessage(answer.verdicts[0], node)
            : createUnsettledVerdict(node, describeError(error)),
        );
      });
    });
  }

  #client(node: NodeId): OutcomesClient | undefined {
    const vm = this.#nodes().find((candidate) => candidate.id === node);
    if (vm === undefined) return undefined;
    const address = vm.peerAddress ?? vm.address;
    return new OutcomesClient(address, credentials.createInsecure(), {
      channelOverride: this.#channels.getChannel(address),
    });
  }
}

function describeError(error: ServiceError): string {
  return `The node did not answer: ${error.details}.`;
}

/** The key's outcome is unknown, and no other node will ever run the key. */
function unknownOutcome(node: NodeId, message: string): Failure {
  return {
    reason: "unavailable",
    step: "forward",
    peer: node,
    message: `${message} Whether the request ran is unknown; it will not run.`,
    outcome: "unknown",
  };
}
