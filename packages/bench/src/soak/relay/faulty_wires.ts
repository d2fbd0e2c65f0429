import { milliseconds, requestId } from "@foxtailwind/core";
import type {
  AnswerFacts,
  CallerRequest,
  RelayWire,
  SendTerms,
} from "@foxtailwind/node/relay";
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import { SoakWire } from "./node_parts.ts";

type Headers = Parameters<RelayWire["readAnswer"]>[1];

/** Reads a refusal of any request as one of this request. */
export class BelievesAnyRefusal extends SoakWire {
  override readAnswer(status: number, headers: Headers): AnswerFacts {
    const { requestId, ...facts } = super.readAnswer(status, headers);
    return facts.isNotRun || requestId === undefined
      ? facts
      : { ...facts, requestId };
  }
}

/** Reads no answer's id. */
export class ReadsNoIds extends SoakWire {
  override readAnswer(status: number, headers: Headers): AnswerFacts {
    const { isNotRun, isMisdirected, isLeaving, hasSeal } = super.readAnswer(
      status,
      headers,
    );
    return { isNotRun, isMisdirected, isLeaving, hasSeal };
  }
}

/** Reads no departure of a server. */
export class ReadsNoDepartures extends SoakWire {
  override readAnswer(status: number, headers: Headers): AnswerFacts {
    return { ...super.readAnswer(status, headers), isLeaving: false };
  }
}

/** Reads no backoff that a server asks for. */
export class ReadsNoBackoffs extends SoakWire {
  override readAnswer(status: number, headers: Headers): AnswerFacts {
    const facts = super.readAnswer(status, headers);
    return { ...facts, retryAfter: milliseconds(0) };
  }
}

/** Takes any body for attested. */
export class NeedsNoSeal extends SoakWire {
  override readAnswer(status: number, headers: Headers): AnswerFacts {
    return { ...super.readAnswer(status, headers), hasSeal: true };
  }
}

/** Reads a failure as a refusal that has run nothing. */
export class TakesFailuresForRefusals extends SoakWire {
  override readAnswer(status: number, headers: Headers): AnswerFacts {
    const facts = super.readAnswer(status, headers);
    return { ...facts, isNotRun: facts.isNotRun || status >= 500 };
  }
}

/** Leaves out where a stream goes on. */
export class ResumesFromTheBeginning extends SoakWire {
  override sendHeaders(raw: readonly string[], terms: SendTerms): string[] {
    const headers = super.sendHeaders(raw, terms);
    const after = headers.indexOf("x-after");
    return after === -1 ? headers : headers.toSpliced(after, 2);
  }
}

/** Reads no parts of prompts. */
export class ReadsNoParts extends SoakWire {
  override readRequest(
    headers: IncomingHttpHeaders,
  ): Result<CallerRequest, string> {
    return super.readRequest(headers).map((request) => ({
      ...request,
      sharedParts: [],
    }));
  }
}

/** Reads the first part of prompts only. */
export class ReadsFirstParts extends SoakWire {
  override readRequest(
    headers: IncomingHttpHeaders,
  ): Result<CallerRequest, string> {
    return super.readRequest(headers).map((request) => ({
      ...request,
      sharedParts: request.sharedParts?.slice(0, 1) ?? [],
    }));
  }
}

/** Takes each resumed stream for one that nobody began. */
export class ReadsNoResumedAttempts extends SoakWire {
  override readRequest(
    headers: IncomingHttpHeaders,
  ): Result<CallerRequest, string> {
    return super.readRequest(headers).map((request) => ({
      ...request,
      resumes: requestId("nobody"),
    }));
  }
}
