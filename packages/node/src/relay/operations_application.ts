import { type DynamicModule, Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import {
  FastifyAdapter,
  type NestFastifyApplication,
} from "@nestjs/platform-fastify";
import type { FastifyInstance } from "fastify";
import { createServer, type Server } from "node:http";
import type { SocketAddress } from "../settings/settings.ts";
import type { OperationsWire } from "./operations_wire.ts";

/** What those around the node may ask of it. */
export interface OperationsAnswers {
  readonly isReady: () => boolean;
  /** Addresses for a caller of a failure domain, best first. */
  readonly addresses: (failureDomain: string | undefined) => readonly string[];
  readonly addressLifetimeSeconds: number;
  readonly metrics: () => Promise<string>;
}

/** Where those around the node ask. */
export interface OperationsListen {
  readonly readiness: SocketAddress;
  readonly addresses: SocketAddress;
  readonly metrics: SocketAddress;
}

const READY = 200;
const NOT_READY = 503;
const METRICS_PATH = "/metrics";

@Module({})
class OperationsModule {}

/** Answers questions for readiness, addresses and metrics. */
export class OperationsApplication {
  readonly #wire: OperationsWire;
  readonly #answers: OperationsAnswers;
  readonly #servers: Server[] = [];
  #application: NestFastifyApplication | undefined;

  /**
   * @param wire How the questions are asked.
   * @param answers What is answered.
   */
  constructor(wire: OperationsWire, answers: OperationsAnswers) {
    this.#wire = wire;
    this.#answers = answers;
  }

  /**
   * Starts to answer.
   * @param listen Where.
   */
  async listen(listen: OperationsListen): Promise<void> {
    const module: DynamicModule = { module: OperationsModule };
    this.#application = await NestFactory.create<NestFastifyApplication>(
      module,
      new FastifyAdapter(),
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- Nest's own options are a class.
      { logger: false },
    );
    const fastify = this.#application.getHttpAdapter().getInstance();
    this.#addRoutes(fastify);
    await this.#application.init();
    await fastify.ready();
    const places = new Map(
      Object.values(listen).map((address: SocketAddress) => [
        `${address.host}:${address.port}`,
        address,
      ]),
    );
    for (const address of places.values()) {
      const server = createServer((request, response) => {
        fastify.routing(request, response);
      });
      this.#servers.push(server);
      await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
      });
    }
  }

  /** Stops to answer. */
  async close(): Promise<void> {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    await this.#application?.close();
  }

  #addRoutes(fastify: FastifyInstance): void {
    fastify.get(this.#wire.readinessPath, (_request, reply) => {
      void reply.status(this.#answers.isReady() ? READY : NOT_READY).send("");
    });
    fastify.get(this.#wire.addressesPath, (request, reply) => {
      const query = request.query as Record<string, string | undefined>;
      const { failureDomain } = this.#wire.readQuestion(query);
      const addresses = this.#answers.addresses(failureDomain);
      if (addresses.length === 0) {
        void reply.status(NOT_READY).send("");
        return;
      }
      const body = this.#wire.writeAddresses(
        addresses,
        this.#answers.addressLifetimeSeconds,
      );
      void reply.header("content-type", "application/json").send(body);
    });
    fastify.get(METRICS_PATH, async (_request, reply) => {
      const text = await this.#answers.metrics();
      return await reply.header("content-type", "text/plain").send(text);
    });
  }
}
