import { backendServerId, type Failure } from "@foxtailwind/core";
import type { Header } from "@foxtailwind/edges";
import { All, Controller, Inject, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { DaemonParts } from "../daemon_parts.ts";
import { sendProblem } from "./problem.ts";

const CALL_TIMEOUT_MILLISECONDS = 10_000;
const PASSED_HEADERS = ["content-type", "accept", "idempotency-key"];
const PREFIX = "/v1/services/";

/** Passes calls on to the plain services. */
@Controller("v1/services")
export class ServicesController {
  readonly #parts: DaemonParts;
  #turn = 0;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Passes one call on. */
  @All(":service/*")
  async call(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const [service = "", ...rest] = request.url.slice(PREFIX.length).split("/");
    const servers = this.#parts.directory.live("service")
      .filter((vm) => vm.role.service === service);
    this.#turn += 1;
    const server = servers[this.#turn % Math.max(1, servers.length)];
    if (server === undefined) {
      sendProblem(reply, noServer(service));
      return;
    }
    const answer = await this.#parts.services.call({
      server: backendServerId(server.id),
      address: server.address,
      method: request.method,
      path: `/${rest.join("/")}`,
      headers: passedHeaders(request),
      body: bodyOf(request),
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    }, AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS));
    if (answer.isErr()) {
      sendProblem(reply, answer.error);
      return;
    }
    for (const header of answer.value.headers) {
      void reply.header(header.name, header.value);
    }
    await reply.status(answer.value.status).send(
      Buffer.from(answer.value.body),
    );
  }
}

function passedHeaders(request: FastifyRequest): readonly Header[] {
  return PASSED_HEADERS.flatMap((name) => {
    const value = request.headers[name];
    return typeof value === "string" ? [{ name, value }] : [];
  });
}

function bodyOf(request: FastifyRequest): Uint8Array {
  if (request.body === undefined || request.body === null) {
    return new Uint8Array();
  }
  return Buffer.from(JSON.stringify(request.body));
}

function noServer(service: string): Failure {
  return {
    reason: "not_found",
    step: "call_service",
    peer: service,
    message: `No server of service "${service}" is live.`,
    outcome: "not_run",
  };
}
