import type { ClaimVerdict } from "@foxtailwind/core";
import {
  type ClaimBatch,
  type ClaimVerdicts,
  type KeyedOutcome,
  type KeyedRun,
  OutcomesService,
} from "@foxtailwind/protocol";
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import type { WorkInProgress } from "../drain/mod.ts";
import type { PeerRegistration } from "../peers/peer_server.ts";
import type { ClaimGatherer } from "./claim_gatherer.ts";
import type { NodeKeyedExecution } from "./node_keyed_execution.ts";
import {
  fromClaimMessage,
  toKeyedOutcome,
  toVerdictMessage,
} from "./outcome_messages.ts";

/** The dependencies of the outcome service. */
export interface OutcomeServiceParts {
  /** Runs the keys that this incarnation may run. */
  readonly execution: NodeKeyedExecution;
  /** Claims keys for the nodes of this failure domain. */
  readonly gatherer: ClaimGatherer;
  readonly work: WorkInProgress;
}

/**
 * Creates the service that runs keyed requests and claims keys for peers.
 * @param parts The dependencies.
 * @returns The gRPC service to register.
 */
export function createOutcomeService(
  parts: OutcomeServiceParts,
): PeerRegistration {
  const { execution, gatherer, work } = parts;
  return {
    definition: OutcomesService,
    implementation: {
      runKeyed(
        call: ServerUnaryCall<KeyedRun, KeyedOutcome>,
        callback: sendUnaryData<KeyedOutcome>,
      ) {
        const end = work.begin();
        void execution.runForPeer(call.request).then((result) => {
          end();
          callback(null, toKeyedOutcome(result));
        });
      },
      claim(
        call: ServerUnaryCall<ClaimBatch, ClaimVerdicts>,
        callback: sendUnaryData<ClaimVerdicts>,
      ) {
        const end = work.begin();
        void claimAll(gatherer, call.request).then((verdicts) => {
          end();
          callback(null, { verdicts: verdicts.map(toVerdictMessage) });
        });
      },
    },
  };
}

function claimAll(
  gatherer: ClaimGatherer,
  batch: ClaimBatch,
): Promise<readonly ClaimVerdict[]> {
  return Promise.all(
    batch.claims.map((claim) => gatherer.claim(fromClaimMessage(claim))),
  );
}
