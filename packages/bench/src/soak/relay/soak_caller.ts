import { Agent, type IncomingMessage, request as send } from "node:http";
import type { Socket } from "node:net";
import type { AnswerFraming } from "./answer_plan.ts";
import type { CallEndRecord } from "./relay_record.ts";

/** A request, as a caller writes it. */
export interface OutgoingCall {
  readonly address: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Whether it goes through a connection that is kept, where one is free. */
  readonly isKept: boolean;
  /** After which it has not ended, in milliseconds. */
  readonly longest: number;
}

/** A caller, which keeps connections to every node that it knows. */
export class SoakCaller {
  readonly #agent = new Agent({ keepAlive: true });

  /**
   * Sends a request.
   * @param call The request.
   * @returns How it ended.
   */
  call(call: OutgoingCall): Promise<CallEndRecord> {
    return new Promise((resolve) => {
      const end = (seen: Omit<CallEndRecord, "at">) => {
        clearTimeout(timer);
        resolve({ at: performance.now(), ...seen });
      };
      const timer = setTimeout(() => {
        end({ isComplete: false, body: "", isAbandoned: true });
        outgoing.destroy();
      }, call.longest);
      let seen: () => CallSeen = () => ({ body: "" });
      const outgoing = send(`http://${call.address}${call.path}`, {
        agent: call.isKept ? this.#agent : false,
        headers: { host: "desk.example", ...call.headers },
      }, (answer) => {
        seen = readAnswer(answer, end);
      });
      outgoing.on("error", (error) => {
        end({ ...seen(), isComplete: false, detail: error.message });
      });
      outgoing.end();
    });
  }

  /** Closes its connections. */
  close(): void {
    this.#agent.destroy();
  }
}

/** What has been seen of an answer. */
type CallSeen = Pick<CallEndRecord, "status" | "framing" | "seal" | "body">;

const NOTHING = Buffer.alloc(0);

function readAnswer(
  answer: IncomingMessage,
  end: (seen: Omit<CallEndRecord, "at">) => void,
): () => CallSeen {
  let body = "";
  let wasReset = Promise.resolve(false);
  const framing = framingOf(answer);
  const seen = () => ({
    status: answer.statusCode ?? 0,
    framing,
    seal: String(answer.headers["x-seal"]),
    body,
  });
  answer.setEncoding("utf8");
  answer.on("data", (text: string) => {
    body += text;
  });
  answer.on("error", (error) => {
    end({ ...seen(), isComplete: false, detail: error.message });
  });
  if (framing === "connection") {
    answer.socket.prependOnceListener("end", () => {
      wasReset = refusesWrites(answer.socket);
    });
  }
  answer.on("end", () => {
    void wasReset.then((isBroken) => {
      end({ ...seen(), isComplete: answer.complete && !isBroken });
    });
  });
  return seen;
}

/** Where a reset comes with the last bytes, it looks like an orderly end. */
function refusesWrites(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(NOTHING, (error) => {
      resolve(error !== null && error !== undefined);
    });
  });
}

function framingOf({ headers }: IncomingMessage): AnswerFraming {
  if (headers["transfer-encoding"] !== undefined) return "chunks";
  return headers["content-length"] === undefined ? "connection" : "length";
}
