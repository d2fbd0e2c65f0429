/** A client with one kept connection, which speaks HTTP/1.1 itself. */
import { Agent, request } from "node:http";
import { randomBytes } from "node:crypto";
import { HOST } from "./deployment.mjs";

export const attemptId = () => randomBytes(8).toString("hex");

/** A kept connection: one socket, used for one request at a time. */
export class KeptConnection {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  /** Requests answered on the present socket. */
  #answered = 0;
  #socket;

  constructor(port) {
    this.port = port;
  }

  /** Sends a request and resolves with what the client sees of its end. */
  send({ path, method = "POST", body, headers = {}, deadline, gapLimit }) {
    const attempt = attemptId();
    const sentAt = Date.now();
    return new Promise((resolve) => {
      let bytes = "";
      let status;
      let isKept = false;
      let gapTimer;
      const end = (outcome) => {
        clearTimeout(timer);
        clearTimeout(gapTimer);
        resolve({
          attempt,
          path,
          outcome,
          status,
          bytes,
          isKept,
          took: Date.now() - sentAt,
        });
      };
      const outgoing = request({
        host: "127.0.0.1",
        port: this.port,
        method,
        path,
        agent: this.#agent,
        headers: {
          host: HOST,
          "attempt-id": attempt,
          "deadline-milliseconds": String(deadline),
          ...headers,
          ...(body === undefined
            ? {}
            : { "content-length": String(body.length) }),
        },
      });
      const leave = (why) => {
        end(why);
        outgoing.destroy();
      };
      const timer = setTimeout(() => leave("deadline"), deadline);
      const restartGap = () => {
        clearTimeout(gapTimer);
        if (gapLimit !== undefined) {
          gapTimer = setTimeout(() => leave("abandoned"), gapLimit);
        }
      };
      restartGap();
      outgoing.on("socket", (socket) => {
        if (socket !== this.#socket) {
          this.#socket = socket;
          this.#answered = 0;
        }
        isKept = this.#answered > 0;
      });
      outgoing.on("response", (response) => {
        status = response.statusCode;
        response.on("data", (chunk) => {
          bytes += chunk.toString("latin1");
          restartGap();
        });
        response.on("end", () => {
          this.#answered += 1;
          end(response.complete ? "answered" : "cut");
        });
        response.on("error", () => end("cut"));
        response.on("aborted", () => end("cut"));
      });
      outgoing.on(
        "error",
        (error) => end(error.code === "ECONNREFUSED" ? "refused" : "closed"),
      );
      outgoing.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
