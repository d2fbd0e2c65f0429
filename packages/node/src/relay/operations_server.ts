import { type ContentDigest, contentDigest } from "@foxtailwind/core";
import type { FastifyInstance } from "fastify";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { schemalessFastify } from "../http/schemaless_fastify.ts";
import type { SocketAddress } from "../settings/settings.ts";
import { refuseIncomplete } from "./caller_answer.ts";
import { RecentConnections } from "./clients/recent_connections.ts";
import type { Quarantine } from "./crashes/crash_reports.ts";
import type { OperationsWire } from "./operations_wire.ts";

/** Handlers of the requests that callers and operators send to a node. */
export interface OperationsHandlers {
  readonly isReady: () => boolean;
  /** Addresses for a caller of a failure domain, best first. */
  readonly addresses: (failureDomain: string | undefined) => readonly string[];
  readonly addressLifetimeSeconds: number;
  readonly metrics: () => Promise<string>;
  /** The most connections to all addresses together. */
  readonly connectionLimit: number;
  /** Called when a connection is closed because there are too many. */
  readonly onConnectionLimitReached: () => void;
  /** The contents and parts that are refused since they crash servers. */
  readonly quarantines: () => readonly Quarantine[];
  /** Serves a content or part again; returns whether it was suspected. */
  readonly liftQuarantine: (content: ContentDigest) => boolean;
}

/** The addresses on which the operations server listens. */
export interface OperationsAddresses {
  readonly readiness: SocketAddress;
  readonly addresses: SocketAddress;
  readonly metrics: SocketAddress;
}

const READY = 200;
const NOT_READY = 503;
const NOT_FOUND = 404;
const CONTENT_TOO_LARGE = 413;
/** How long a caller may take to send a request. */
const TIMEOUTS = {
  headersTimeout: 5_000,
  requestTimeout: 5_000,
  connectionsCheckingInterval: 1_000,
} as const;
const METRICS_PATH = "/metrics";
const QUARANTINES_PATH = "/v1/operators/quarantines";
const MILLISECONDS_PER_SECOND = 1_000;

/** Serves readiness, caller addresses and metrics over HTTP. */
export class OperationsServer {
  readonly #wire: OperationsWire;
  readonly #handlers: OperationsHandlers;
  readonly #servers: Server[] = [];
  readonly #fastify: FastifyInstance;
  readonly #connections: RecentConnections;

  /**
   * @param wire The request and response formats.
   * @param handlers Provide the answers.
   */
  constructor(wire: OperationsWire, handlers: OperationsHandlers) {
    this.#wire = wire;
    this.#handlers = handlers;
    this.#connections = new RecentConnections(
      handlers.connectionLimit,
      handlers.onConnectionLimitReached,
    );
    this.#fastify = schemalessFastify();
    this.#addRoutes(this.#fastify);
  }

  /**
   * Starts to listen.
   * @param listenAddresses The addresses; equal ones share one socket.
   * @returns The port used for readiness.
   */
  async listen(listenAddresses: OperationsAddresses): Promise<number> {
    const fastify = this.#fastify;
    await fastify.ready();
    const { readiness, addresses, metrics } = listenAddresses;
    const distinctAddresses = new Map(
      [readiness, addresses, metrics].map((address: SocketAddress) => [
        `${address.host}:${address.port}`,
        address,
      ]),
    );
    const ports: number[] = [];
    for (const address of distinctAddresses.values()) {
      const server = createServer(TIMEOUTS, (request, response) => {
        if (hasBody(request)) {
          refuseIncomplete(request, response, {
            status: CONTENT_TOO_LARGE,
            refusal: { code: "body_too_large" },
          });
        } else fastify.routing(request, response);
      });
      this.#connections.track(server);
      this.#servers.push(server);
      await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
      });
      ports.push((server.address() as AddressInfo).port);
    }
    return ports[0] ?? 0;
  }

  /** Closes all sockets. */
  async close(): Promise<void> {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    await this.#fastify.close();
  }

  #addRoutes(fastify: FastifyInstance): void {
    fastify.get(this.#wire.readinessPath, (_request, reply) => {
      void reply.status(this.#handlers.isReady() ? READY : NOT_READY).send("");
    });
    fastify.get(this.#wire.addressesPath, (request, reply) => {
      const query = request.query as Record<string, string | undefined>;
      const { failureDomain } = this.#wire.readAddressQuery(query);
      const addresses = this.#handlers.addresses(failureDomain);
      if (addresses.length === 0) {
        void reply.status(NOT_READY).send("");
        return;
      }
      const body = this.#wire.writeAddresses(
        addresses,
        this.#handlers.addressLifetimeSeconds,
      );
      void reply.header("content-type", "application/json").send(body);
    });
    fastify.get(QUARANTINES_PATH, (_request, reply) => {
      const quarantines = this.#handlers.quarantines();
      void reply.send({
        quarantines: quarantines.map(({ content, remaining }) => ({
          content,
          remaining_seconds: Math.round(remaining / MILLISECONDS_PER_SECOND),
        })),
      });
    });
    fastify.delete(`${QUARANTINES_PATH}/:content`, (request, reply) => {
      const { content } = request.params as { readonly content: string };
      const wasLifted = this.#handlers.liftQuarantine(contentDigest(content));
      if (wasLifted) void reply.send({ content });
      else {
        void reply.status(NOT_FOUND).send({
          title: "not found",
          status: NOT_FOUND,
          detail: "Nothing is held against this content.",
        });
      }
    });
    fastify.get(METRICS_PATH, async (_request, reply) => {
      const text = await this.#handlers.metrics();
      return await reply.header("content-type", "text/plain").send(text);
    });
  }
}

/** No request to these listeners needs a body. */
function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}
