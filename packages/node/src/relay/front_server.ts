import {
  type Instant,
  later,
  milliseconds,
  type Route,
  type RouteTable,
} from "@foxtailwind/core";
import { pendingInputRead } from "@foxtailwind/edges";
import type { FastifyInstance } from "fastify";
import { setMaxListeners } from "node:events";
import type { IncomingMessage } from "node:http";
import { Server } from "node:net";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import { schemalessFastify } from "../http/schemaless_fastify.ts";
import type { SocketAddress } from "../settings/settings.ts";
import { hasCallerLeft } from "./caller_departure.ts";
import type { CallerRequest } from "./caller_wire.ts";
import {
  type CallerExchange,
  type EarlyRefusal,
  EarlyRefusals,
} from "./early_refusals.ts";
import { ForwardedRequest } from "./forwarded_request.ts";
import type { PeerForwarder } from "./peer_forwarder.ts";
import {
  estimatedRequest,
  requestTimeLimit,
  type RoutedRequest,
} from "./routed_request.ts";
import type { RelayParts } from "./relay_parts.ts";
import { RequestRelay } from "./request_relay.ts";
import { isAcceptedWhileStopping } from "./relay_stop.ts";
import {
  type ClientResources,
  isLargeHead,
} from "./clients/client_resources.ts";
import type { RequestBody } from "./clients/request_body.ts";
import { RequestContent } from "./crashes/request_content.ts";
import { chooseRequestTarget } from "./streams/resumption.ts";

/** Exceeds the largest header limit that a configuration may set. */
const MAXIMUM_HEADER_BYTES = 128 * 1_024;
/**
 * The size of a head, or of trailers, that is parsed at all, in proportion to
 * the header limit: the parser also counts the request line and separators.
 */
const PARSED_HEADER_RATIO = 2;
/** How long a request waits for a starting node's first configuration. */
const CONFIGURATION_WAIT = milliseconds(400);
const CONFIGURATION_POLL_MILLISECONDS = 10;
/**
 * How long the first request to a standby node waits until the node has read
 * what it missed of the log.
 */
const CATCH_UP_WAIT_MILLISECONDS = 150;
/** Timeouts before the first configuration sets them. */
const INITIAL_IDLE_MILLISECONDS = 15_000;
const INITIAL_HEADER_MILLISECONDS = 10_000;
/** How much longer than configured an idle connection is kept open. */
const IDLE_MARGIN_MILLISECONDS = 1_000;
const CONNECTION_CHECK_MILLISECONDS = 1_000;
/** What a peer may add to the headers of a request that it forwards. */
const FORWARDING_HEADER_BYTES = 128;

/** The codes of the refusals of requests whose access is not granted. */
const REFUSED_ACCESS_CODE = {
  unknown_key: "unknown_key",
  stale: "stale_configuration",
} as const;

/** The codes of the refusals of requests whose bodies can't be used. */
const BODY_FAILURE_CODE = {
  too_large: "body_too_large",
  stalled: "body_stalled",
  late: "not_run_in_time",
  overloaded: "overloaded",
} as const;

/** A request whose head has arrived. */
interface ArrivedRequest {
  readonly body: RequestBody;
  readonly arrivedAt: Instant;
  /** Resolves once a node that was on standby has caught up with the log. */
  readonly caughtUp: Promise<void> | undefined;
}

/** The HTTP server that accepts callers' requests and relays them. */
export class FrontServer {
  readonly #parts: RelayParts;
  readonly #fastify: FastifyInstance;
  readonly #clients: ClientResources;
  readonly #forwarder: PeerForwarder | undefined;
  readonly #requests = new Set<RequestRelay | ForwardedRequest>();
  readonly #refusals: EarlyRefusals;
  /** Aborted once no request is accepted or waited for any more. */
  readonly #shutdown = new AbortController();
  #idleTimer: NodeJS.Timeout | undefined;

  /**
   * @param parts The collaborators.
   * @param forwarder Chooses peers for requests that this node can't send to
   * their service; without it, no request is forwarded.
   */
  constructor(parts: RelayParts, forwarder?: PeerForwarder) {
    this.#parts = parts;
    this.#forwarder = forwarder;
    this.#refusals = new EarlyRefusals(parts);
    this.#clients = parts.clients;
    // Each request that waits for the first configuration adds a listener.
    setMaxListeners(0, this.#shutdown.signal);
    this.#fastify = schemalessFastify({
      genReqId: () => "",
      keepAliveTimeout: INITIAL_IDLE_MILLISECONDS + IDLE_MARGIN_MILLISECONDS,
      requestTimeout: 0,
      http: {
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        headersTimeout: INITIAL_HEADER_MILLISECONDS,
        connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
        noDelay: true,
      },
    });
    this.#installHandlers();
  }

  /** The number of requests in progress. */
  get requestsInProgress(): number {
    return this.#clients.connections.requestsInProgress;
  }

  /**
   * Starts to accept requests.
   * @param address The address to listen at.
   * @returns The port.
   */
  async listen(address: SocketAddress): Promise<number> {
    await this.#fastify.listen(address);
    this.#idleTimer = setInterval(() => {
      this.#clients.expireIdle();
    }, CONNECTION_CHECK_MILLISECONDS);
    const bound = this.#fastify.server.address();
    return typeof bound === "object" && bound !== null ? bound.port : 0;
  }

  /** Stops accepting connections and closes idle ones. */
  stopListening(): void {
    // node:http's own `close` would also close connections whose last answer
    // is ended but not yet written out.
    Server.prototype.close.call(this.#fastify.server);
    this.#clients.connections.closeIdle();
  }

  /**
   * Ends all requests in progress. Waiting callers get a final answer, and
   * answers that have begun are aborted so that they aren't taken as complete.
   * Just closing the connections would do neither.
   */
  async abortAll(): Promise<void> {
    this.#shutdown.abort();
    clearInterval(this.#idleTimer);
    for (const request of this.#requests) request.endForShutdown();
    // Answers are written to their connections at the end of this turn of the
    // event loop.
    await nextTurn();
    this.#fastify.server.closeAllConnections();
  }

  /** Refuses waiting requests whose content has been quarantined. */
  applyQuarantine(): void {
    for (const request of this.#requests) request.applyQuarantine();
  }

  /** Applies the limits of the configuration. */
  applyLimits(): void {
    const limits = this.#parts.knowledge.routes?.configuration.limits;
    if (limits === undefined) return;
    const { server } = this.#fastify;
    server.keepAliveTimeout = limits.idleTime + IDLE_MARGIN_MILLISECONDS;
    server.headersTimeout = limits.headerTime;
    // Applies to new connections; not part of the type, but read for each.
    Object.assign(server, {
      maxHeaderSize: Math.min(
        MAXIMUM_HEADER_BYTES,
        limits.headerBytes * PARSED_HEADER_RATIO,
      ),
    });
  }

  #installHandlers(): void {
    const fastify = this.#fastify;
    fastify.server.on("connection", (socket) => {
      this.#clients.connections.trackConnection(socket);
    });
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser("*", (_request, _payload, done) => {
      done(null);
    });
    fastify.all("*", (request, reply) => {
      reply.hijack();
      const exchange = { message: request.raw, response: reply.raw };
      const { connections, bodies } = this.#clients;
      const turn = connections.trackRequest(
        exchange.message.socket,
        exchange.response,
      );
      if (turn.kind === "closed") return;
      const caughtUp = this.#parts.onRequest();
      if (!this.#clients.tryTakeRequest(request.raw, reply.raw)) {
        this.#refuseForMemory(exchange);
        return;
      }
      // Until a body is read, each of its chunks is kept as a separate object.
      const body = bodies.receive(exchange.message, exchange.response);
      const relayed = { body, arrivedAt: this.#parts.clock.now(), caughtUp };
      if (turn.begin === undefined) void this.#relay(exchange, relayed);
      else void turn.begin.then(() => this.#relay(exchange, relayed));
    });
  }

  async #relay(
    exchange: CallerExchange,
    { body: incomingBody, arrivedAt, caughtUp }: ArrivedRequest,
  ): Promise<void> {
    const { knowledge, wire, clock, plannedStop } = this.#parts;
    const { message, response } = exchange;
    if (caughtUp !== undefined) {
      await Promise.race([caughtUp, sleep(CATCH_UP_WAIT_MILLISECONDS)]);
    }
    if (plannedStop() !== undefined) {
      response.setHeader("connection", "close");
    }
    const routes = knowledge.routes ?? await this.#awaitConfiguration();
    if (hasCallerLeft(message, response)) return;
    if (routes === undefined) {
      this.#refuse(exchange, { code: "no_configuration" });
      return;
    }
    const { limits } = routes.configuration;
    const caller = wire.readRequest(message.headers);
    const isForwarded = caller.isOk() && caller.value.isForwarded;
    const headerLimit = limits.headerBytes +
      (isForwarded ? FORWARDING_HEADER_BYTES : 0);
    if (countHeaderBytes(message) > headerLimit) {
      this.#refuse(exchange, { code: "headers_too_large" });
      return;
    }
    if (caller.isErr()) {
      this.#refuse(exchange, { code: caller.error });
      return;
    }
    const route = routes.find(message.headers.host ?? "", message.url ?? "/");
    if (route === undefined) {
      this.#refuse(exchange, { code: "no_route", caller: caller.value });
      return;
    }
    const access = await this.#parts.access.decide({
      route,
      caller: caller.value,
    });
    if (hasCallerLeft(message, response)) return;
    if (access.kind !== "granted") {
      this.#refuse(exchange, {
        code: REFUSED_ACCESS_CODE[access.kind],
        caller: caller.value,
      });
      return;
    }
    const { account } = access;
    const target = await chooseRequestTarget(
      this.#parts,
      route,
      {
        caller: caller.value,
        path: message.url ?? "/",
        draw: Math.random(),
      },
    );
    const service = target.kind === "chosen"
      ? routes.service(target.service)
      : undefined;
    if (target.kind === "refused" || service === undefined) {
      const code = target.kind === "refused" ? target.code : "no_route";
      this.#refuse(exchange, { code, caller: caller.value, account });
      return;
    }
    const timeLimit = requestTimeLimit({ route, caller: caller.value });
    incomingBody.expireAfter(later(arrivedAt, timeLimit) - clock.now());
    const body = await incomingBody.result;
    if (body.kind === "broken") return;
    if (body.kind !== "read") {
      this.#refuse(exchange, {
        code: BODY_FAILURE_CODE[body.kind],
        caller: caller.value,
        account,
      });
      return;
    }
    // A node that is short of processor time may have read the request long
    // after its caller left.
    await pendingInputRead();
    if (hasCallerLeft(message, response)) return;
    if (
      this.#shutdown.signal.aborted || !this.#isAccepted(route, caller.value)
    ) {
      this.#refuse(exchange, {
        code: "stopping",
        caller: caller.value,
        account,
      });
      return;
    }
    const received = {
      message,
      response,
      caller: caller.value,
      route,
      service,
      ...(target.origin === undefined ? {} : { origin: target.origin }),
      account,
      body: body.bytes,
      content: new RequestContent(message, body.bytes, {
        service: service.id,
        parts: caller.value.sharedParts ?? [],
      }),
      arrivedAt,
    };
    if (await this.#forward({ ...received, quotaCost: 0 })) return;
    const admission = this.#parts.quotas.tryTake(account, caller.value.tokens);
    if (admission.kind === "refused") {
      this.#refuse(exchange, {
        code: "over_quota",
        caller: caller.value,
        account,
        retryAfter: admission.retryAfter,
      });
      return;
    }
    const request = new RequestRelay(this.#parts, {
      ...received,
      quotaCost: admission.cost,
    });
    this.#requests.add(request);
    await request.run();
    this.#requests.delete(request);
  }

  /**
   * Forwards a request if this node doesn't reach its service and a peer does. A
   * request that a peer has forwarded stays here, so that none goes in circles.
   * @returns Whether the request has ended.
   */
  async #forward(request: RoutedRequest): Promise<boolean> {
    const forwarder = this.#forwarder;
    if (forwarder === undefined || request.caller.isForwarded) return false;
    if (forwarder.choosePeer(request.service.id) === undefined) return false;
    const forwarded = new ForwardedRequest(this.#parts, forwarder, request);
    this.#requests.add(forwarded);
    const hasEnded = await forwarded.run();
    this.#requests.delete(forwarded);
    return hasEnded;
  }

  #isAccepted(route: Route, caller: CallerRequest): boolean {
    const { clock, durations, plannedStop } = this.#parts;
    const stop = plannedStop();
    if (stop === undefined) return true;
    const request = estimatedRequest({ route, caller });
    return isAcceptedWhileStopping(clock.now(), stop, {
      expected: durations.estimateTotal(request),
      longest: request.timeLimit,
    });
  }

  /**
   * Refuses a request for which there is no memory. A large head is kept while
   * its connection is open, so the connection is closed without an answer.
   */
  #refuseForMemory(exchange: CallerExchange): void {
    if (isLargeHead(exchange.message)) {
      this.#clients.recordLimit("header_memory");
      exchange.message.socket.destroy();
      return;
    }
    exchange.message.resume();
    this.#refuse(exchange, { code: "overloaded" });
  }

  /** Waits briefly for the first configuration after the start. */
  async #awaitConfiguration(): Promise<RouteTable | undefined> {
    const { knowledge, clock } = this.#parts;
    const deadline = later(clock.now(), CONFIGURATION_WAIT);
    while (knowledge.routes === undefined && clock.now() < deadline) {
      if (this.#shutdown.signal.aborted) break;
      await sleep(CONFIGURATION_POLL_MILLISECONDS, undefined, {
        signal: this.#shutdown.signal,
      })
        .catch(() => undefined);
    }
    return knowledge.routes;
  }

  #refuse(exchange: CallerExchange, refusal: EarlyRefusal): void {
    this.#refusals.refuse(exchange, {
      ...refusal,
      closesConnection: this.#shutdown.signal.aborted,
    });
  }
}

function countHeaderBytes(message: IncomingMessage): number {
  return message.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
