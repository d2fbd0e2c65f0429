import type { ClaimVerdict } from "@foxtailwind/core";
import {
  type ClaimBatch,
  type ClaimVerdicts,
  type KeyedOutcome,
  type KeyedRun,
  OutcomesService,
} from "@foxtailwind/protocol";
import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import type { PeerRegistration } from "../peers/peer_server.ts";
import type { ClaimGatherer } from "./claim_gatherer.ts";
import type { NodeKeyedExecution } from "./node_keyed_execution.ts";
import {
  fromClaimMessage,
  toKeyedOutcome,
  toVerdictMessage,
} from "./outcome_messages.ts";

/**
 * Answers peers about keys.
 * @param execution Runs the keys of this incarnation.
 * @param gatherer Claims keys for the nodes of this failure domain.
 * @returns The service, to register.
 */
export function outcomeService(
  execution: NodeKeyedExecution,
  gatherer: ClaimGatherer,
): PeerRegistration {
  return {
    definition: OutcomesService,
    implementation: {
      runKeyed(
        call: ServerUnaryCall<KeyedRun, KeyedOutcome>,
        done: sendUnaryData<KeyedOutcome>,
      ) {
        void execution.runForPeer(call.request).then((result) => {
          done(null, toKeyedOutcome(result));
        });
      },
      claim(
        call: ServerUnaryCall<ClaimBatch, ClaimVerdicts>,
        done: sendUnaryData<ClaimVerdicts>,
      ) {
        void claimAll(gatherer, call.request).then((verdicts) => {
          done(null, { verdicts: verdicts.map(toVerdictMessage) });
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
