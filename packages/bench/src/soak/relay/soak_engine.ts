import {
  type AdapterId,
  adapterId,
  type LogOffset,
  logOffset,
} from "@foxtailwind/core";
import type {
  ClaimRecord,
  EngineOrder,
  EngineReport,
  OrderResult,
} from "@foxtailwind/node/relay";
import { StandInEngineState } from "../../relay/stand_in_engine_state.ts";
import {
  LAST_EVENT_HEADER,
  PARTS_HEADER,
  STAND_IN_MODEL,
} from "../../relay/stand_in_wire.ts";
import { CRASHING_PART } from "./crashes/part_script.ts";
import type { RawRequest } from "./raw_server.ts";
import { type Run, SoakServer, type SoakServerParts } from "./soak_server.ts";

/** Tells the newest version that operators have named of an adapter. */
export type NewestVersion = (adapter: AdapterId) => number;

/** Finds the claim at a position of the log, also one that the log has lost. */
export type FindClaim = (position: LogOffset) => ClaimRecord | undefined;

/** What an engine works with. */
export interface SoakEngineParts extends SoakServerParts {
  readonly slots: number;
  /** The number of adapters that its memory holds. */
  readonly memoryAdapters: number;
  readonly newestVersion: NewestVersion;
  readonly findClaim: FindClaim;
  /** Called when a request with a part that crashes engines begins to run. */
  readonly onCrashingPart: (engine: SoakEngine) => void;
}

/** How many events a stream has. */
export const EVENTS = 5;

/** An engine that streams events for adapters that it was ordered to hold. */
export class SoakEngine extends SoakServer {
  readonly adapters: StandInEngineState;
  /** Whether orders get no answer and are carried out late. */
  isLate = false;
  readonly #parts: SoakEngineParts;
  readonly #runs = new Map<AdapterId, number>();
  #highestClaim = -1;

  /**
   * @param id Its id.
   * @param service Its service.
   * @param parts What it works with.
   */
  constructor(id: string, service: string, parts: SoakEngineParts) {
    super(id, service, parts);
    this.#parts = parts;
    this.adapters = new StandInEngineState(parts.slots, parts.memoryAdapters);
    this.adapters.models = [STAND_IN_MODEL];
    this.adapters.start = this.start;
    this.adapters.newestVersion = parts.newestVersion;
  }

  /** Holds and knows nothing of before, not even who ordered it. */
  override restart(software?: string): void {
    super.restart(software);
    this.adapters.restart(this.start);
    this.#runs.clear();
    this.#highestClaim = -1;
  }

  /** What the engine says of itself. */
  get report(): EngineReport {
    return this.adapters.report;
  }

  /**
   * Takes an order.
   * @param order The order.
   * @returns What came of it.
   */
  carryOut(order: EngineOrder): OrderResult {
    const before = this.adapters.orderCount;
    const result = this.adapters.execute(order);
    const { record } = this.#parts;
    if (this.adapters.orderCount > before) this.#checkOwner(order);
    if (this.adapters.hasExceededSlots) {
      record.breaks(
        "adapter_slots_are_never_exceeded",
        `${this.id} was ordered to hold ${this.adapters.loadedAdapters.size}`,
      );
    }
    if (this.adapters.hasExceededMemory) {
      record.breaks(
        "engine_memory_is_never_exceeded",
        `${this.id} was ordered to hold ${this.adapters.loadedAdapters.size}`,
      );
    }
    return result;
  }

  protected override begin(request: RawRequest): Run | undefined {
    const id = request.headers.get("x-id") ?? "";
    const adapter = adapterId(request.headers.get("x-adapter") ?? "");
    if (!this.adapters.loadedAdapters.has(adapter)) return undefined;
    const version = this.adapters.versionOf(adapter);
    const expected = request.headers.get("x-version");
    if (expected !== undefined && Number(expected) !== version) {
      return undefined;
    }
    this.#use(adapter, 1);
    const { start } = this;
    const after = request.headers.get("x-after") ??
      request.headers.get(LAST_EVENT_HEADER);
    const events = eventsOf(id, adapter, { version, software: this.software });
    return {
      pieces: events.slice(Number(after ?? 0)),
      isStream: true,
      version,
      ended: () => {
        if (start === this.start) this.#use(adapter, -1);
      },
    };
  }

  protected override onRun = ({ headers }: RawRequest): void => {
    const parts = (headers.get(PARTS_HEADER) ?? "").split(",");
    if (parts.includes(CRASHING_PART)) this.#parts.onCrashingPart(this);
  };

  /**
   * Each order names the claim by which it is given. An owner that has claimed
   * the engine again may still carry out orders by its earlier claim.
   */
  #checkOwner({ owner, fence }: EngineOrder): void {
    const place = fence - 1;
    const claim = this.#parts.findClaim(logOffset(place));
    const isOwn = claim?.owner === owner && claim.engine === this.id;
    if (!isOwn || place < this.#highestClaim) {
      this.#parts.record.breaks(
        "an_owner_that_was_followed_orders_no_more",
        `${this.id} carried out an order of ${owner} by claim ${place}, which is ${
          isOwn ? "its own" : `${claim?.owner ?? "nobody"}'s`
        }, after one by claim ${this.#highestClaim}`,
      );
    }
    this.#highestClaim = Math.max(this.#highestClaim, place);
  }

  #use(adapter: AdapterId, change: number): void {
    const runs = (this.#runs.get(adapter) ?? 0) + change;
    this.#runs.set(adapter, runs);
    if (runs > 0) this.adapters.adaptersInUse.add(adapter);
    else this.adapters.adaptersInUse.delete(adapter);
  }
}

/** What a run of a stream is made by. */
export interface EventSource {
  /** The adapter's version. */
  readonly version: number;
  /** The version of the engine's software. */
  readonly software: string;
}

/**
 * Writes the events of a stream.
 * @param id The request's id.
 * @param adapter The adapter that it runs on.
 * @param source What makes the events.
 * @returns The events; the last one has the end mark.
 */
export function eventsOf(
  id: string,
  adapter: string,
  { version, software }: EventSource,
): readonly string[] {
  return Array.from({ length: EVENTS }, (_, index) => {
    const mark = index + 1 === EVENTS ? " end" : "";
    const data = `${id} ${adapter} ${version}${mark}`;
    return `id: ${index + 1}\nevent: ${software}\ndata: ${data}\n\n`;
  });
}
