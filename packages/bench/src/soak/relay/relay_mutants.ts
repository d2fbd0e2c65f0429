import {
  backendServerId,
  fencingNumber,
  instant,
  softwareVersion,
} from "@foxtailwind/core";
import {
  BackendCall,
  type EngineOrder,
  type LoggerFactory,
  type OrderResult,
  RelayDaemon,
  type RelayPlatform,
  type RelaySettings,
  type RelayWire,
  type SharedLogListener,
  StreamDirectory,
} from "@foxtailwind/node/relay";
import { setTimeout as sleep } from "node:timers/promises";
import type { Draws } from "./draws.ts";
import {
  AddsSlots,
  AddsStreamSource,
  HearsNoDepartures,
  HearsNoMemory,
  HearsNoSoftware,
  HearsNoVersions,
  KeepsItsFirstRoutes,
  ListensForSoftware,
  RepeatsEverything,
  TellsNoEras,
} from "./faulty_listeners.ts";
import {
  BelievesAnyRefusal,
  NeedsNoSeal,
  ReadsFirstParts,
  ReadsNoBackoffs,
  ReadsNoDepartures,
  ReadsNoIds,
  ReadsNoParts,
  ReadsNoResumedAttempts,
  ResumesFromTheBeginning,
  TakesFailuresForRefusals,
} from "./faulty_wires.ts";
import { GRACE_SECONDS, NodeParts, SoakControl } from "./node_parts.ts";
import type { RelayScript } from "./relay_script.ts";
import { drawReturnScript } from "./return_script.ts";
import { ENGINES } from "./soak_configuration.ts";
import type { SoakEngine } from "./soak_engine.ts";
import { drawPartScript } from "./crashes/mod.ts";
import { drawStreamScript } from "./stream_script.ts";

/** One part of the nodes replaced by a wrong one. */
export interface RelayMutant {
  readonly name: string;
  /** The invariants that are expected to notice, any of them first. */
  readonly invariants: readonly string[];
  readonly made: NodeParts;
  /** Draws the runs that bring the fault about, if not all do. */
  readonly draw?: (seed: number) => RelayScript;
}

/** Nodes with another wire. */
class WithWire extends NodeParts {
  readonly #make: () => RelayWire;

  constructor(make: () => RelayWire) {
    super();
    this.#make = make;
  }

  override wire(): RelayWire {
    return this.#make();
  }
}

/** Nodes that are told something else than the log says. */
class WithListener extends NodeParts {
  readonly #make: (next: SharedLogListener) => SharedLogListener;

  constructor(make: (next: SharedLogListener) => SharedLogListener) {
    super();
    this.#make = make;
  }

  override listener(next: SharedLogListener): SharedLogListener {
    return this.#make(next);
  }
}

/** Nodes that learn of departures neither from the log nor from answers. */
class NeverHearsOfDepartures extends WithListener {
  constructor() {
    super((next) => new HearsNoDepartures(next));
  }

  override wire(): RelayWire {
    return new ReadsNoDepartures();
  }
}

/** Nodes that can't tell what began any stream that is resumed. */
class RefusesResumedStreams extends WithListener {
  constructor() {
    super((next) => new AddsStreamSource(next));
  }

  override wire(): RelayWire {
    return new ReadsNoResumedAttempts();
  }
}

/** Nodes with one other line in their settings. */
class WithSettings extends NodeParts {
  readonly #lines: readonly (readonly [pattern: RegExp, line: string])[];

  constructor(...lines: readonly (readonly [RegExp, string])[]) {
    super();
    this.#lines = lines;
  }

  override settings(id: string): string {
    return this.#lines.reduce(
      (text, [pattern, line]) => text.replace(pattern, line),
      super.settings(id),
    );
  }
}

/** Nodes that take each orderly end of a connection for an answer's. */
class TakesEndsForWhole extends NodeParts {
  override install(): () => void {
    const calls = BackendCall.prototype;
    // eslint-disable-next-line @typescript-eslint/unbound-method
    const { onResponseError } = calls;
    calls.onResponseError = function (this: BackendCall) {
      this.onResponseEnd();
    };
    return () => {
      calls.onResponseError = onResponseError;
    };
  }
}

/** Nodes that take the newest software for what began every stream. */
class GuessesSoftware extends NodeParts {
  #newest = softwareVersion("");

  override listener(next: SharedLogListener): SharedLogListener {
    return new ListensForSoftware(next, (software) => {
      this.#newest = software;
    });
  }

  override install(): () => void {
    const directory = StreamDirectory.prototype;
    // eslint-disable-next-line @typescript-eslint/unbound-method
    const { find } = directory;
    directory.find = (attempt) =>
      Promise.resolve({
        kind: "known",
        origin: {
          attempt,
          service: ENGINES,
          software: this.#newest,
          server: backendServerId(""),
          begunAt: instant(0),
        },
      });
    return () => {
      directory.find = find;
    };
  }
}

/** Orders that each engine takes for those of its newest owner. */
class OrdersWithAnyRight extends SoakControl {
  protected override deliver(
    engine: SoakEngine,
    order: EngineOrder,
  ): OrderResult {
    const fence = fencingNumber(Number.MAX_SAFE_INTEGER);
    return super.deliver(engine, { ...order, fence });
  }
}

/** Orders by the claim of whoever ordered the engine last. */
class OrdersByOthersClaims extends SoakControl {
  protected override deliver(
    engine: SoakEngine,
    order: EngineOrder,
  ): OrderResult {
    const { highestFence } = engine.adapters;
    const fence = fencingNumber(Math.max(order.fence, highestFence));
    return super.deliver(engine, { ...order, fence });
  }
}

class ExpectsNoCount extends SoakControl {
  protected override deliver(
    engine: SoakEngine,
    order: EngineOrder,
  ): OrderResult {
    const expectedOrders = engine.adapters.orderCount;
    return super.deliver(engine, { ...order, expectedOrders });
  }
}

/** Nodes with other orders. */
class WithControl extends NodeParts {
  readonly #Control: typeof SoakControl;

  constructor(Control: typeof SoakControl) {
    super();
    this.#Control = Control;
  }

  override control(
    engines: ReadonlyMap<string, SoakEngine>,
    delays: Draws,
  ): SoakControl {
    return new this.#Control(engines, delays);
  }
}

/** Before the end by force, the node begins to stop after all. */
const DEAF_MILLISECONDS = GRACE_SECONDS * 1_000 - 300;

class HearsOfStopsLate extends RelayDaemon {
  override async stop(): Promise<void> {
    await sleep(DEAF_MILLISECONDS);
    await super.stop();
  }
}

class WithDeafDaemon extends NodeParts {
  override daemon(
    settings: RelaySettings,
    edges: RelayPlatform,
    loggers: LoggerFactory,
  ): RelayDaemon {
    return new HearsOfStopsLate(settings, edges, loggers);
  }
}

const LOST = ["no_request_is_lost", "a_whole_answer_is_passed_on"];
const RUNS = ["at_most_once", "not_run_means_not_run", "attempts_are_bounded"];

/** Deliberate faults of nodes, each of which the soak has to notice. */
export const relayMutants: readonly RelayMutant[] = [
  {
    name: "pass an answer without its end as whole",
    invariants: ["answer_is_whole"],
    made: new TakesEndsForWhole(),
  },
  {
    name: "take requests late at a stop",
    invariants: LOST,
    made: new WithDeafDaemon(),
  },
  {
    name: "end a stop with a bare close",
    invariants: LOST,
    made: new WithSettings([/grace_seconds = .*/, "grace_seconds = 60"]),
  },
  {
    name: "believe a refusal of another request",
    invariants: RUNS,
    made: new WithWire(() => new BelievesAnyRefusal()),
  },
  {
    name: "order with an outdated right",
    invariants: ["an_owner_that_was_followed_orders_no_more"],
    made: new WithControl(OrdersWithAnyRight),
  },
  {
    name: "order by another owner's claim",
    invariants: ["an_owner_that_was_followed_orders_no_more"],
    made: new WithControl(OrdersByOthersClaims),
  },
  {
    name: "order without expecting a count",
    invariants: ["adapter_slots_are_never_exceeded"],
    made: new WithControl(ExpectsNoCount),
  },
  {
    name: "retry what may have run",
    invariants: RUNS,
    made: new WithListener((next) => new RepeatsEverything(next)),
  },
  {
    name: "take a failure for a refusal",
    invariants: RUNS,
    made: new WithWire(() => new TakesFailuresForRefusals()),
  },
  {
    name: "leave out the check of an answer's id",
    invariants: ["own_answer_only"],
    made: new WithWire(() => new ReadsNoIds()),
  },
  {
    name: "pass a body that nothing attests",
    invariants: ["own_answer_only"],
    made: new WithWire(() => new NeedsNoSeal()),
  },
  {
    name: "resume a stream from its beginning",
    invariants: ["own_answer_only"],
    made: new WithWire(() => new ResumesFromTheBeginning()),
  },
  {
    name: "resume a stream at any software version",
    invariants: ["streams_keep_their_software"],
    made: new WithListener((next) => new HearsNoSoftware(next)),
    draw: drawStreamScript,
  },
  {
    name: "guess the software that began a stream",
    invariants: ["streams_keep_their_software"],
    made: new GuessesSoftware(),
    draw: drawStreamScript,
  },
  {
    name: "refuse every stream that is resumed",
    invariants: ["resumed_streams_go_on"],
    made: new RefusesResumedStreams(),
    draw: drawStreamScript,
  },
  {
    name: "know no parts of prompts",
    invariants: ["crashing_parts_are_refused"],
    made: new WithWire(() => new ReadsNoParts()),
    draw: drawPartScript,
  },
  {
    name: "know the first parts of prompts only",
    invariants: ["crashing_parts_are_refused", "sound_parts_are_served"],
    made: new WithWire(() => new ReadsFirstParts()),
    draw: drawPartScript,
  },
  {
    name: "overfill an engine's slots",
    invariants: ["adapter_slots_are_never_exceeded"],
    made: new WithListener((next) => new AddsSlots(next)),
  },
  {
    name: "overfill an engine's memory",
    invariants: ["engine_memory_is_never_exceeded"],
    made: new WithListener((next) => new HearsNoMemory(next)),
  },
  {
    name: "leave out the check of the version",
    invariants: ["own_answer_only"],
    made: new WithListener((next) => new HearsNoVersions(next)),
  },
  {
    name: "keep the routes of the first configuration",
    invariants: ["configuration_is_in_force"],
    made: new WithListener((next) => new KeepsItsFirstRoutes(next)),
  },
  {
    name: "send to a server that leaves",
    invariants: ["leaving_server_gets_no_new_work"],
    made: new NeverHearsOfDepartures(),
  },
  {
    name: "compare offsets of two eras",
    invariants: [
      "leaving_server_gets_no_new_work",
      "an_owner_that_was_followed_orders_no_more",
    ],
    made: new WithListener((next) => new TellsNoEras(next)),
    draw: drawReturnScript,
  },
  {
    name: "disregard departures that answers announce",
    invariants: ["announced_departure_is_respected"],
    made: new WithWire(() => new ReadsNoDepartures()),
  },
  {
    name: "disregard backoffs",
    invariants: ["backoff_is_respected"],
    made: new WithWire(() => new ReadsNoBackoffs()),
  },
  {
    name: "repeat beyond the allowance",
    invariants: ["repeats_are_bounded"],
    made: new WithSettings([/share = .*/, "share = 1"], [
      /reserve = .*/,
      "reserve = 1000",
    ]),
  },
];
