import { requestId } from "@foxtailwind/core";
import { telemetry } from "@foxtailwind/protocol";
import {
  type sendUnaryData,
  type ServerUnaryCall,
  status,
} from "@grpc/grpc-js";
import type { PeerRegistration } from "../peers/peer_server.ts";
import { toExplanationMessage } from "./explanation_messages.ts";
import { parseWindow, toHistogramsAnswer } from "./histogram_messages.ts";
import type { LocalTelemetry } from "./local_telemetry.ts";

/**
 * Creates the gRPC service that returns this node's telemetry to peers.
 * @param local Telemetry of this node.
 * @returns The service, to register.
 */
export function telemetryService(local: LocalTelemetry): PeerRegistration {
  return {
    definition: telemetry.TelemetryService,
    implementation: {
      readHistograms(
        call: ServerUnaryCall<
          telemetry.HistogramsRequest,
          telemetry.HistogramsAnswer
        >,
        answer: sendUnaryData<telemetry.HistogramsAnswer>,
      ) {
        const window = parseWindow(call.request.window);
        if (window === undefined) {
          answer({
            code: status.INVALID_ARGUMENT,
            details: `No window is called "${call.request.window}".`,
          });
          return;
        }
        void local.report(window).then((report) => {
          answer(null, toHistogramsAnswer(report));
        });
      },
      explain(
        call: ServerUnaryCall<
          telemetry.ExplainRequest,
          telemetry.ExplainAnswer
        >,
        answer: sendUnaryData<telemetry.ExplainAnswer>,
      ) {
        const found = local.explain(requestId(call.request.request));
        const explanation = found && toExplanationMessage(found);
        answer(null, { explanation });
      },
      readStatus(
        _call: ServerUnaryCall<telemetry.StatusRequest, telemetry.StatusAnswer>,
        answer: sendUnaryData<telemetry.StatusAnswer>,
      ) {
        answer(null, local.status());
      },
    },
  };
}
