import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import type { z } from "zod";
import type { CommandFailure } from "../command_failure.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { failureFromProblem } from "./problem.ts";

const TIMEOUT_MILLISECONDS = 15_000;
const SUCCESS_STATUS_CLASS = 2;
const STATUSES_PER_CLASS = 100;

/** A call to the operators' API of a node. */
export interface NodeCall<ResponseBody> {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** The path below `/v1/operators/`. */
  readonly path: string;
  readonly body?: unknown;
  readonly responseSchema: z.ZodType<ResponseBody>;
}

/** Client for the operators' API of one node. */
export class NodeClient {
  readonly #origin: string;

  /** @param address The IP literal and port, with or without `http://`. */
  constructor(address: string) {
    this.#origin = address.startsWith("http://")
      ? address
      : `http://${address}`;
  }

  /** The node's address with `http://`. */
  get origin(): string {
    return this.#origin;
  }

  /**
   * Sends a GET request.
   * @param path The path below `/v1/operators/`.
   * @param responseSchema The schema of the response body.
   * @returns The validated response body, or a failure.
   */
  get<ResponseBody>(
    path: string,
    responseSchema: z.ZodType<ResponseBody>,
  ): Promise<Result<ResponseBody, CommandFailure>> {
    return this.call({ method: "GET", path, responseSchema });
  }

  /**
   * Calls the node once, without retries. To publish changes, use
   * `publishUntilConfirmed`.
   * @param call The call.
   * @returns The validated response body, or a failure.
   */
  async call<ResponseBody>(
    call: NodeCall<ResponseBody>,
  ): Promise<Result<ResponseBody, CommandFailure>> {
    try {
      const response = await request(
        `${this.#origin}/v1/operators/${call.path}`,
        {
          method: call.method,
          headersTimeout: TIMEOUT_MILLISECONDS,
          bodyTimeout: TIMEOUT_MILLISECONDS,
          ...(call.body !== undefined && {
            headers: { "content-type": "application/json" },
            body: JSON.stringify(call.body),
          }),
        },
      );
      const body = parseBody(await response.body.text());
      if (
        Math.floor(response.statusCode / STATUSES_PER_CLASS) !==
          SUCCESS_STATUS_CLASS
      ) {
        return err(failureFromProblem(response.statusCode, body));
      }
      const parsed = call.responseSchema.safeParse(body);
      if (parsed.success) return ok(parsed.data);
      return err({
        code: EXIT_CODE.failed,
        message: `The answer of ${this.#origin} cannot be read.`,
        remedy: "Use the foxtailwind command of the node's own release.",
      });
    } catch (error) {
      return err(this.#transportFailure(call.method, error));
    }
  }

  #transportFailure(method: string, error: unknown): CommandFailure {
    const cause = error instanceof Error ? error.message : String(error);
    const isOutcomeUnknown = method !== "GET" &&
      !/ECONNREFUSED|EHOSTUNREACH/.test(cause);
    return {
      code: isOutcomeUnknown ? EXIT_CODE.unknown : EXIT_CODE.unreachable,
      message: isOutcomeUnknown
        ? `The answer of ${this.#origin} was lost (${cause}).`
        : `No answer from ${this.#origin} (${cause}).`,
      remedy: "Name another node with --node, or check that the node runs.",
    };
  }
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
