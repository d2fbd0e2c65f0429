import { InvariantViolation } from "@foxtailwind/core";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { SoakRun } from "../ownership_soak.ts";
import { checkParts, countParts } from "./crashes/mod.ts";
import { NodeParts } from "./node_parts.ts";
import { checkNotices } from "./notice_checks.ts";
import { checkRecord, mustKnow } from "./relay_checks.ts";
import type { RelayNode } from "./relay_node.ts";
import type { CallRecord, RelayRecord, ResumedStream } from "./relay_record.ts";
import type { RelayFault } from "./relay_fault.ts";
import {
  drawScript,
  type PlannedCall,
  type RelayScript,
} from "./relay_script.ts";
import { WORLD_SIZE } from "./world_size.ts";
import { RelayWorld } from "./relay_world.ts";
import { SoakCaller } from "./soak_caller.ts";
import { checkSoftware, countShares, resumedStream } from "./stream_checks.ts";
import {
  LAST_EVENT_HEADER,
  PARTS_HEADER,
  RESUMES_HEADER,
} from "../../relay/stand_in_wire.ts";
import { soakAdapter, TIME_LIMIT } from "./soak_configuration.ts";
import { SoakEngine } from "./soak_engine.ts";

/** What one run of the relay's soak is made of. */
export interface RelaySoakOptions {
  readonly seed: number;
  /** Other than the product's own for mutants only. */
  readonly made?: NodeParts;
  /** Draws what happens. */
  readonly draw?: (seed: number) => RelayScript;
}

/** What a run did, with all that is needed to trace it. */
export interface RelaySoakRun extends SoakRun {
  readonly record: RelayRecord;
}

/** Before the script begins, nodes claim the engines; in milliseconds. */
const SETTLING_MILLISECONDS = 1_400;
/** From the script's last fault to the stop of all nodes, in milliseconds. */
const FAULTS_END_MILLISECONDS = 4_600;
/** A caller gives up by itself so long after its limit, in milliseconds. */
const CALLER_MARGIN_MILLISECONDS = 4_000;
/** How often a caller resumes a stream, and how long it waits before it does. */
const MOST_RESUMPTIONS = 3;
const RESUMPTION_PAUSE_MILLISECONDS = 60;
/** How often a caller looks for a node while there is none. */
const NODE_LOOKS = 20;
const NODE_LOOK_MILLISECONDS = 50;
const OK = 200;
/** Callers still open connections to a stopping node, in milliseconds. */
const ADDRESS_MILLISECONDS = 2_000;

/**
 * Runs relays on stand-ins through drawn faults in real time, and checks what
 * callers and servers saw.
 * @param options The seed, and what nodes are made of.
 * @returns What was found; the first broken invariant, if any.
 */
export async function runRelaySoak(
  { seed, made = new NodeParts(), draw = drawScript }: RelaySoakOptions,
): Promise<RelaySoakRun> {
  const run = new ScriptRun(seed, made, draw(seed));
  const { record } = run.world;
  const noteThrown = (error: unknown) => {
    const isOwn = error instanceof InvariantViolation;
    record.breaks(isOwn ? error.invariant : "no_exception", String(error));
  };
  process.on("unhandledRejection", noteThrown);
  process.on("uncaughtException", noteThrown);
  const uninstall = made.install();
  try {
    await run.run();
  } finally {
    uninstall();
    process.off("unhandledRejection", noteThrown);
    process.off("uncaughtException", noteThrown);
  }
  record.stalls.stop();
  checkRecord(record, run.world.leftAt);
  checkNotices(record);
  checkSoftware(record);
  checkParts(record);
  const answered = record.calls.filter(({ end }) => end?.status === 200).length;
  const [first] = record.broken;
  return {
    record,
    orders: answered,
    counts: { ...countShares([record]), ...countParts(record) },
    ...(first === undefined ? {} : { finding: { seed, ...first } }),
  };
}

/** A script that is being played. */
class ScriptRun {
  readonly world: RelayWorld;
  readonly #script: RelayScript;
  readonly #callers = Array.from(
    { length: WORLD_SIZE.callers },
    () => new SoakCaller(),
  );

  constructor(seed: number, made: NodeParts, script: RelayScript) {
    this.world = new RelayWorld(seed, made, script.size);
    this.#script = script;
  }

  async run(): Promise<void> {
    await this.world.start();
    await sleep(SETTLING_MILLISECONDS);
    const begin = performance.now();
    const faults = this.#script.faults.map(async ({ at, fault }) => {
      await sleep(at);
      this.#play(fault);
    });
    const calls = this.#script.calls.map(async (call) => {
      await sleep(Math.max(0, begin + call.at - performance.now()));
      await this.#call(call);
    });
    await Promise.all(faults);
    const lasts = this.#script.lasts ?? FAULTS_END_MILLISECONDS;
    await sleep(Math.max(0, begin + lasts - performance.now()));
    const stopped = this.world.stop();
    await Promise.all(calls);
    await stopped;
    for (const caller of this.#callers) caller.close();
  }

  /** Calls, and resumes a stream that breaks off at one node after the other. */
  async #call(planned: PlannedCall): Promise<void> {
    let call = await this.#attempt(planned);
    let resumes: ResumedStream | undefined;
    for (let attempt = 1; attempt <= MOST_RESUMPTIONS; attempt += 1) {
      if (call === undefined || call.kind !== "notes") return;
      if (call.end?.status === OK && call.end.isComplete) return;
      resumes = resumedStream(call, resumes);
      if (resumes === undefined) return;
      await sleep(RESUMPTION_PAUSE_MILLISECONDS);
      call = await this.#attempt({
        ...planned,
        id: `${planned.id}-${attempt}`,
        node: planned.node + attempt,
        isKept: false,
      }, resumes);
    }
  }

  async #attempt(
    planned: PlannedCall,
    resumes?: ResumedStream,
  ): Promise<CallRecord | undefined> {
    const node = await this.#awaitNode(planned);
    const caller = this.#callers[planned.caller];
    if (node === undefined || caller === undefined) return undefined;
    const call = {
      ...this.#describe(planned, node),
      ...(resumes === undefined ? {} : { resumes }),
    };
    this.world.record.calls.push(call);
    const { patience, sharedParts } = planned;
    call.end = await caller.call({
      address: node.daemon.callerAddress,
      path: `/${planned.kind}/${planned.id}`,
      headers: {
        "x-id": planned.id,
        ...(call.adapter === undefined ? {} : { "x-adapter": call.adapter }),
        ...(sharedParts === undefined ? {} : {
          [PARTS_HEADER]: [...sharedParts, planned.id].join(","),
        }),
        ...(patience === undefined ? {} : { "x-patience": String(patience) }),
        ...(resumes === undefined ? {} : {
          [RESUMES_HEADER]: resumes.attempt,
          [LAST_EVENT_HEADER]: String(resumes.lastEvent),
        }),
      },
      isKept: planned.isKept,
      longest: call.limit + CALLER_MARGIN_MILLISECONDS,
    });
    this.#judgeRoute(call);
    return call;
  }

  #describe(planned: PlannedCall, node: RelayNode): CallRecord {
    const { kind, id } = planned;
    const { world } = this;
    const now = performance.now();
    const isStream = kind === "drafts" || kind === "notes";
    const adapter = soakAdapter(planned.adapter);
    const namedAt = world.namedAt.get(adapter);
    const isNamed = namedAt !== undefined &&
      mustKnow(world.record, node.record, { told: namedAt, now });
    return {
      id,
      kind,
      ...(isStream ? { adapter } : {}),
      ...(planned.sharedParts === undefined
        ? {}
        : { sharedParts: planned.sharedParts }),
      leastVersion: isNamed ? world.store.newestVersion(adapter) : 1,
      node: node.record,
      sentAt: now,
      limit: Math.min(TIME_LIMIT, planned.patience ?? TIME_LIMIT),
    };
  }

  /** Whether a node had to have a route, where it did not move meanwhile. */
  #judgeRoute(call: CallRecord): void {
    const { isThere, since } = this.world.extraRoute;
    if (call.kind !== "extra") call.isRouted = true;
    else {
      const terms = { told: since, now: call.sentAt };
      const isSettled = mustKnow(this.world.record, call.node, terms);
      if (isSettled) call.isRouted = isThere;
    }
  }

  /** Waits for a node, for a while after all were cut off. */
  async #awaitNode(planned: PlannedCall): Promise<RelayNode | undefined> {
    for (let looks = 0; looks < NODE_LOOKS; looks += 1) {
      const node = this.#nodeFor(planned);
      if (node !== undefined) return node;
      await sleep(NODE_LOOK_MILLISECONDS);
    }
    return undefined;
  }

  /** Connections to a node that stops are used on until it is gone. */
  #nodeFor({ node, isKept }: PlannedCall): RelayNode | undefined {
    const { nodes } = this.world;
    const turned = nodes.map((_, index) =>
      nodes[(node + index) % nodes.length]
    );
    return turned.find((one) => {
      const stoppedAt = one?.record.stoppedAt;
      if (one === undefined || one.record.cutAt !== undefined) return false;
      if (stoppedAt === undefined || isKept) return true;
      return performance.now() - stoppedAt < ADDRESS_MILLISECONDS;
    });
  }

  #play(fault: RelayFault): void {
    const { world } = this;
    switch (fault.kind) {
      case "store_down":
        this.#away(world.nodes, fault.lasts);
        break;
      case "store_turns_away":
        this.#away(world.nodes.slice(fault.node, fault.node + 1), fault.lasts);
        break;
      case "store_forgets":
        world.forgetServers(fault.lasts);
        break;
      case "store_returns":
        world.returnStore(fault.age);
        break;
      case "takeover":
        this.#takeOver(fault);
        break;
      case "server_leaves":
      case "server_crashes": {
        const server = world.servers[fault.server % world.servers.length];
        if (server === undefined) break;
        if (fault.kind === "server_leaves") world.leave(server, 500);
        else world.crash(server, 400);
        break;
      }
      case "server_announces": {
        const server = world.servers[fault.server % world.servers.length];
        if (server === undefined) break;
        world.announceDeparture(server, fault.untold, 500);
        break;
      }
      case "server_restarts": {
        const server = world.servers[fault.server % world.servers.length];
        if (server !== undefined) world.restart(server, fault.unread);
        break;
      }
      case "release":
        world.release(fault.engines, fault.pause, 500);
        break;
      case "engine_upgrades": {
        const engine = this.#engine(fault.engine);
        if (engine !== undefined) world.upgrade(engine, fault.unread);
        break;
      }
      case "several_cut":
        for (let count = 0; count < fault.nodes; count += 1) {
          world.cutNode((fault.node + count) % world.nodes.length);
        }
        break;
      case "orders_late":
        this.#delayOrders(fault.engine, fault.lasts);
        break;
      case "stop":
        world.stopNode(fault.node);
        break;
      case "cut":
        world.cutNode(fault.node);
        break;
      case "loses_servers":
        world.loseServers(fault.node, fault.lasts);
        break;
      case "loses_peers":
        world.losePeers(fault.node, fault.lasts);
        break;
      case "version":
        world.nameVersion(soakAdapter(fault.adapter));
        break;
      case "route_moves":
        world.moveRoute();
        break;
      case "foreign_record":
        world.writeForeignRecord();
    }
  }

  /** Another node claims an engine, which its owner may not hear of. */
  #takeOver(
    { engine: number, node, unseenFor }: Extract<
      RelayFault,
      { readonly kind: "takeover" }
    >,
  ): void {
    const engine = this.#engine(number);
    if (engine === undefined) return;
    const { claims } = this.world.store;
    const owner = claims.findLast((claim) => claim.engine === engine.id)?.owner;
    const { nodes } = this.world;
    const before = nodes.filter(({ id }) => id === owner);
    if (unseenFor !== undefined) this.#away(before, unseenFor);
    const others = nodes.filter(({ id, isUp }) => id !== owner && isUp);
    const next = others[node % others.length];
    if (next !== undefined) this.world.claimFor(engine, nodes.indexOf(next));
  }

  #away(nodes: readonly RelayNode[], lasts: number): void {
    for (const node of nodes) {
      this.world.setReachable(node, false);
      setTimeout(() => {
        this.world.setReachable(node, true);
      }, lasts);
    }
  }

  #delayOrders(number: number, lasts: number): void {
    const engine = this.#engine(number);
    if (engine === undefined) return;
    engine.isLate = true;
    setTimeout(() => {
      engine.isLate = false;
    }, lasts);
  }

  #engine(number: number): SoakEngine | undefined {
    const engines = this.world.servers.filter((server) =>
      server instanceof SoakEngine
    );
    return engines[number % engines.length];
  }
}
