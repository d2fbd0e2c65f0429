import { adapterId, milliseconds, modelId, requestId } from "@foxtailwind/core";
import {
  type AnswerFacts,
  type CallerRequest,
  RelayWire,
  type SendTerms,
} from "@foxtailwind/node/relay";
import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** The one model of the tests' engines. */
export const TEST_MODEL = modelId("m");

/** A wire of the tests' own. */
export class TestWire extends RelayWire {
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
            model: TEST_MODEL,
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
    return {
      ...(typeof id === "string" ? { requestId: id } : {}),
      notRun: headers["x-not-run"] !== undefined,
      isMisdirected: status === 421,
      isAttested: headers["x-seal"] !== undefined,
    };
  }
}
