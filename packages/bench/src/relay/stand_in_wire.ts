import { adapterId, milliseconds, modelId, requestId } from "@foxtailwind/core";
import {
  type AddressQuestion,
  type AnswerFacts,
  type CallerRequest,
  OperationsWire,
  RelayWire,
  type SendTerms,
} from "@foxtailwind/node/relay";
import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** The one model of the stand-ins of engines. */
export const STAND_IN_MODEL = modelId("m");

/** The requests a second that a server takes from all nodes together. */
export const LIMIT_HEADER = "x-limit";

/** A wire of the stand-ins: headers that begin with `x-`. */
export class StandInWire extends RelayWire {
  override readRequest(
    headers: IncomingHttpHeaders,
  ): Result<CallerRequest, string> {
    const id = headers["x-id"];
    if (typeof id !== "string") return err("no_request_id");
    const patience = headers["x-patience"];
    const adapter = headers["x-adapter"];
    return ok({
      id: requestId(id),
      ...(typeof patience === "string"
        ? { patience: milliseconds(Number(patience)) }
        : {}),
      ...(typeof adapter === "string"
        ? {
          use: {
            model: STAND_IN_MODEL,
            adapter: adapterId(adapter),
            promptTokens: 10,
            outputTokens: 10,
          },
        }
        : {}),
    });
  }

  override sendHeaders(raw: readonly string[], terms: SendTerms): string[] {
    const kept: string[] = [];
    for (let index = 0; index < raw.length; index += 2) {
      const name = (raw[index] ?? "").toLowerCase();
      if (name.startsWith("x-")) kept.push(name, raw[index + 1] ?? "");
    }
    kept.push("x-server", terms.server, "x-left", String(terms.timeLeft));
    if (terms.resumeAfter !== undefined) {
      kept.push("x-after", terms.resumeAfter);
    }
    return kept;
  }

  override readAnswer(status: number, headers: Headers): AnswerFacts {
    const id = headers["x-id"];
    const limit = headers[LIMIT_HEADER];
    return {
      ...(typeof id === "string" ? { requestId: id } : {}),
      ...(typeof limit === "string" ? { requestLimit: Number(limit) } : {}),
      notRun: headers["x-not-run"] !== undefined,
      isMisdirected: status === 421,
      isAttested: headers["x-seal"] !== undefined,
    };
  }
}

/** How the stand-ins ask a node for its readiness and for addresses. */
export class StandInOperations extends OperationsWire {
  override readonly readinessPath = "/readiness";
  override readonly addressesPath = "/addresses";

  override readQuestion(
    query: Readonly<Record<string, string | undefined>>,
  ): AddressQuestion {
    const failureDomain = query["domain"];
    return failureDomain === undefined ? {} : { failureDomain };
  }

  override writeAddresses(addresses: readonly string[]): string {
    return JSON.stringify(addresses);
  }
}
