import {
  STAND_IN_MODEL,
  standInEngineService,
  standInRegistryEntry,
  StandInWire,
} from "@foxtailwind/bench";
import {
  backendServerId,
  CallerTimeouts,
  type ClientAccount,
  type ClientLimitSettings,
  computeClientLimits,
  type Duration,
  type Instant,
  instant,
  logOffset,
  milliseconds,
  RequestDurations,
  seconds,
  serverStart,
} from "@foxtailwind/core";
import type { Knowledge } from "@foxtailwind/node/relay";
import {
  AccountAccess,
  type AccountAccessParts,
  AccountQuotas,
  AdapterGrants,
  AnswerMemory,
  BackendPools,
  ClientResources,
  CrashReports,
  DepartureProber,
  EngineOwners,
  FrontServer,
  PeerDatagrams,
  PeerForwarder,
  type PlannedStop,
  ProcessClock,
  type RelayParts,
  RequestLimits,
  RequestPlacer,
  RetryBudgets,
  ServerLoads,
  StreamDirectory,
  StreamSourceRecorder,
} from "@foxtailwind/node/relay";
import type { ExecutionContext } from "ava";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { ok } from "neverthrow";
import { request as send } from "undici";
import { ENGINE_SERVICE, PLAIN_SERVICE, ROUTES } from "./relay_routes.ts";
import { createRelayBase } from "./relay_base.ts";
import { relaySettings } from "./relay_settings.ts";
import { ScriptedEngine } from "./scripted_engine.ts";
import { createStreamParts } from "./stream_parts.ts";

const INCARNATION = "run-1";

/** A front server with backend servers whose answers a test scripts. */
export class RelayWorld {
  readonly knowledge: Knowledge;
  /** What the node's access decisions go by. */
  proofs: Pick<Knowledge["proofs"], "age" | "now">;
  readonly front: FrontServer;
  readonly limits: RequestLimits;
  readonly streams: StreamDirectory;
  readonly outcomes: string[] = [];
  /** Why requests were refused before they were relayed. */
  readonly refusals: string[] = [];
  /** The limits that callers have reached. */
  readonly limitsReached: string[] = [];
  /** How long a revoked API key may still be used. */
  revocationTime = milliseconds(5_000);
  /** Called when a request needs a proof of the newest configuration. */
  requestProof: () => void = () => undefined;
  readonly #clock = new ProcessClock();
  readonly #pools = new BackendPools();
  readonly #owners: EngineOwners;
  readonly #streamRecorder: StreamSourceRecorder;
  readonly #servers: {
    readonly id: string;
    readonly server: ReturnType<typeof createServer>;
  }[] = [];
  readonly #addresses = new Map<string, string>();
  #offset = 0;
  port = 0;
  /** Whether the node reads the log. */
  reachesLog = true;
  /** Whether the node reaches the servers of all services. */
  reachesServices = true;
  /** The planned stop of the front server's node, if any. */
  plannedStop: PlannedStop | undefined;
  readonly control = new ScriptedEngine(2);
  /** What is held back of servers' answers. */
  readonly answerMemory = new AnswerMemory(relaySettings().vm.memory_megabytes);

  /**
   * @param write Receives the log lines, if a test reads them.
   * @param options Whether the log holds all software that began streams.
   */
  constructor(
    write?: (line: string) => void,
    options: {
      readonly isRecordConfirmed?: boolean;
      /** What callers may use; by default what the settings allow. */
      readonly clients?: Pick<
        ClientLimitSettings,
        "megabytes" | "connections"
      >;
    } = {},
  ) {
    const { base, knowledge } = createRelayBase({
      part: "callers",
      incarnation: INCARNATION,
      clock: this.#clock,
      write,
    });
    const { settings, clock, logger } = base;
    const loads = new ServerLoads(settings.node.failure_domain);
    this.knowledge = knowledge;
    this.proofs = knowledge.proofs;
    this.#owners = new EngineOwners({
      ...base,
      knowledge,
      control: this.control,
      log: undefined as never,
      isLeaving: () => false,
      isUnreached: () => false,
      onEngineGained: () => undefined,
    });
    this.limits = new RequestLimits({
      self: settings.node.id,
      knowledge,
      clock,
      logger,
      onChange: () => undefined,
    });
    const { limits } = this;
    const streamParts = createStreamParts(knowledge, clock);
    this.streams = new StreamDirectory({
      knowledge,
      channels: undefined as never,
      datagrams: new PeerDatagrams(),
      clock,
      ...streamParts,
    });
    const { isRecordConfirmed = true } = options;
    knowledge.streamSourcesListed([], isRecordConfirmed);
    this.#streamRecorder = new StreamSourceRecorder({
      knowledge,
      log: {
        changeStreamSources: () => Promise.resolve(ok(true)),
        confirmStreamSources: () => Promise.resolve(ok(true)),
        readStreamSources: () => Promise.resolve(this.reachesLog),
      },
      clock,
      logger,
    });
    knowledge.operatorsRead(knowledge.beginRead());
    const parts: RelayParts = {
      knowledge,
      limits,
      access: new AccountAccess({
        knowledge: this.#accessKnowledge(),
        revocationTime: () => this.revocationTime,
        requestProof: () => {
          this.requestProof();
        },
      }),
      quotas: new AccountQuotas({
        knowledge,
        clock,
        slack: 0,
        countNodes: () => 1,
      }),
      crashReports: new CrashReports({
        knowledge,
        log: { changeSuspicions: () => Promise.resolve(ok(undefined)) },
        clock,
        logger,
      }),
      loads,
      clock,
      logger,
      pools: this.#pools,
      wire: new StandInWire(),
      streams: this.streams,
      streamRecorder: this.#streamRecorder,
      countNodes: () => 1,
      onRequest: () => undefined,
      callerTimeouts: new CallerTimeouts(),
      durations: new RequestDurations(),
      plannedStop: () => this.plannedStop,
      retryBudgets: new RetryBudgets({
        limits: { retriesPerRequest: 0.2, reserve: 58, window: seconds(10) },
        presentPeers: () => [],
        countNodes: () => ({ nodes: 1, isComplete: true }),
      }),
      placer: new RequestPlacer({
        self: settings.node.id,
        knowledge,
        owners: this.#owners,
        grants: new AdapterGrants(
          settings.node.id,
          this.#owners,
          undefined as never,
        ),
        loads,
        limits,
        clock,
      }),
      clients: new ClientResources({
        limits: {
          ...computeClientLimits({
            vmMegabytes: settings.vm.memory_megabytes,
            fileDescriptors: settings.vm.file_descriptors,
            ...options.clients,
          }),
          requestsAhead: settings.clients.requests_ahead,
          unreadAnswers: settings.clients.unread_answers,
        },
        knowledge,
        clock,
        logger,
        recordLimit: (limit) => {
          this.limitsReached.push(limit);
        },
      }),
      answerMemory: this.answerMemory,
      recordRefusal: (reason) => {
        this.refusals.push(reason);
      },
      recordRequest: (_request, outcome) => {
        this.outcomes.push(outcome);
      },
    };
    new DepartureProber({
      knowledge,
      pools: this.#pools,
      wire: parts.wire,
      clock,
    }).refresh();
    const forwarder = new PeerForwarder({
      knowledge,
      clock,
      reach: { isUnreached: () => !this.reachesServices },
    });
    this.front = new FrontServer(parts, forwarder);
  }

  #accessKnowledge(): AccountAccessParts["knowledge"] {
    const { knowledge } = this;
    const proofs = () => this.proofs;
    return {
      get routes() {
        return knowledge.routes;
      },
      get proofs() {
        return proofs();
      },
    };
  }

  /** Returns the time some milliseconds ago. */
  timeBefore(ago: number): Instant {
    return instant(this.#clock.now() - ago);
  }

  /**
   * Activates the tests' configuration.
   * @param accounts The client accounts, if there are any.
   */
  configure(accounts?: readonly ClientAccount[]): void {
    const version = this.knowledge.routes?.configuration.version ?? 0;
    this.knowledge.configuration({
      version: version + 1,
      ...(accounts === undefined ? {} : { accounts }),
      routes: ROUTES,
      services: [
        { id: PLAIN_SERVICE, connectionLimit: 100 },
        standInEngineService(ENGINE_SERVICE, this.control.adapters.slots),
      ],
      limits: {
        headerBytes: 4_096,
        bodyBytes: 100_000,
        headerTime: seconds(3),
        idleTime: seconds(15),
      },
    });
  }

  /**
   * Adds a backend server.
   * @param id Its id.
   * @param answer How it answers.
   * @param service Its service.
   * @param software The version of its software, if it isn't the usual one.
   */
  async addServer(
    id: string,
    answer: RequestListener,
    service = PLAIN_SERVICE,
    software?: string,
  ): Promise<void> {
    const server = createServer(answer);
    this.#servers.push({ id, server });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    this.addAddress(id, `127.0.0.1:${port}`, service, undefined, software);
  }

  /**
   * Ends a server: its connections break, and its address refuses others.
   * @param id Its id.
   */
  endServer(id: string): void {
    for (const { server } of this.#serversNamed(id)) {
      server.close();
      server.closeAllConnections();
    }
  }

  /**
   * Lets a server reset its connections, and those that follow.
   * @param id Its id.
   */
  resetServer(id: string): void {
    for (const { server } of this.#serversNamed(id)) {
      server.on("connection", (socket) => {
        socket.resetAndDestroy();
      });
      server.closeAllConnections();
    }
  }

  /**
   * Adds an engine that this node owns.
   * @param id Its id.
   * @param wait How long this node must wait before its first order.
   * @param answer How it answers requests.
   */
  async addEngine(
    id: string,
    wait: Duration,
    answer: RequestListener,
  ): Promise<void> {
    this.control.adapters.models = [STAND_IN_MODEL];
    await this.addServer(id, answer, ENGINE_SERVICE);
    this.#offset += 1;
    this.knowledge.claim({
      engine: backendServerId(id),
      owner: relaySettings().node.id,
      incarnation: INCARNATION,
      wait,
    }, logOffset(this.#offset));
    this.#owners.refresh();
  }

  /**
   * Registers a server at an address, whatever listens there.
   * @param id The server's id.
   * @param address The address.
   * @param service Its service.
   * @param start Its start, if it tells it.
   * @param software The version of its software, if it isn't the usual one.
   */
  addAddress(
    id: string,
    address: string,
    service = PLAIN_SERVICE,
    start?: number,
    software?: string,
  ): void {
    this.#offset += 1;
    this.#addresses.set(id, address);
    this.knowledge.registryEntry({
      kind: "present",
      offset: logOffset(this.#offset),
      server: standInRegistryEntry({
        id,
        service,
        address,
        isEngine: service === ENGINE_SERVICE,
        ...(start === undefined ? {} : { start: serverStart(start) }),
        ...(software === undefined ? {} : { software }),
      }),
    });
  }

  /**
   * Registers another start of a server at its address.
   * @param id The server's id.
   * @param start The start.
   * @param software The version of its software, if it isn't the usual one.
   */
  registerStart(id: string, start: number, software?: string): void {
    const address = this.#addresses.get(id) ?? "";
    this.addAddress(id, address, PLAIN_SERVICE, start, software);
  }

  /** Whether the node may send requests to a server. */
  takesRequests(id: string): boolean {
    const server = this.knowledge.registry.find(backendServerId(id));
    return server !== undefined &&
      this.knowledge.departures.takesRequests(server);
  }

  /**
   * Removes a server from the registry.
   * @param id The server's id.
   */
  removeServer(id: string): void {
    this.#offset += 1;
    this.knowledge.registryEntry({
      kind: "gone",
      offset: logOffset(this.#offset),
      id: backendServerId(id),
    });
  }

  /**
   * Registers a removed server again.
   * @param id The server's id.
   * @param software The version of its software, if it isn't the usual one.
   */
  restoreServer(id: string, software?: string): void {
    const address = this.#addresses.get(id) ?? "";
    this.addAddress(id, address, PLAIN_SERVICE, undefined, software);
  }

  #serversNamed(id: string) {
    return this.#servers.filter((one) => one.id === id);
  }

  /** Starts the front server. */
  async start(t: ExecutionContext): Promise<this> {
    this.port = await this.front.listen({ host: "127.0.0.1", port: 0 });
    t.teardown(async () => {
      this.front.stopListening();
      await this.front.abortAll();
      this.#owners.stop();
      for (const { id } of this.#servers) this.endServer(id);
      await this.#pools.destroy();
    });
    return this;
  }

  /** Sends a request as a caller. */
  async call(path: string, options: {
    readonly method?: "GET" | "POST";
    readonly body?: Buffer;
    readonly headers?: Record<string, string>;
    readonly signal?: AbortSignal;
  } = {}) {
    const answer = await send(`http://127.0.0.1:${this.port}${path}`, {
      method: options.method ?? "POST",
      headers: { host: "one.example", "x-id": "r1", ...options.headers },
      ...(options.body === undefined ? {} : { body: options.body }),
      ...(options.signal === undefined ? {} : { signal: options.signal }),
      reset: true,
    });
    const { statusCode: status, headers } = answer;
    const bytes = Buffer.from(await answer.body.arrayBuffer());
    return { status, headers, bytes };
  }
}

/** Starts a front server with the tests' configuration. */
export async function startWorld(t: ExecutionContext): Promise<RelayWorld> {
  const world = new RelayWorld();
  world.configure();
  return await world.start(t);
}

/** Answers a request with a success. */
export function succeed(
  request: IncomingMessage,
  response: ServerResponse,
  body: string | Buffer,
): void {
  response.setHeader("x-id", String(request.headers["x-id"]));
  response.setHeader("x-seal", "s");
  response.end(body);
}
