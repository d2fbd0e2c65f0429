import {
  type Failure,
  type RegisteredServer,
  seconds,
} from "@foxtailwind/core";
import {
  EngineControl,
  type EngineOrder,
  type EngineReport,
  type LoggerFactory,
  type OrderResult,
  parseRelaySettings,
  RelayDaemon,
  type RelayPlatform,
  type RelaySettings,
  type RelayWire,
  type SendTerms,
  type SharedLogListener,
} from "@foxtailwind/node/relay";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import { standInSettings } from "../../relay/stand_in_settings.ts";
import { StandInWire } from "../../relay/stand_in_wire.ts";
import type { Draws } from "./draws.ts";
import type { SoakEngine } from "./soak_engine.ts";

/** From a planned stop's begin to its end by force. */
export const GRACE_SECONDS = 4.5;
/** Sends beyond the first of a request: of each request, and beside. */
export const RETRY_TERMS = {
  share: 0.1,
  reserve: 3,
  windowMilliseconds: 2_000,
} as const;
/** An order without an answer counts as lost after so long. */
const ORDER_MILLISECONDS = 60;
const LONGEST_ORDER_DELAY_MILLISECONDS = 600;

/** The stand-ins' wire, with adapters' versions and resumed streams. */
export class SoakWire extends StandInWire {
  override sendHeaders(raw: readonly string[], terms: SendTerms): string[] {
    const headers = super.sendHeaders(raw, terms);
    const { adapterVersion } = terms;
    return adapterVersion === undefined
      ? headers
      : [...headers, "x-version", String(adapterVersion)];
  }
}

/** One node's orders to the engines of a soak. */
export class SoakControl extends EngineControl {
  /** Whether the node is cut off. */
  isCut = false;
  readonly #engines: ReadonlyMap<string, SoakEngine>;
  readonly #delays: Draws;

  /**
   * @param engines The engines by id.
   * @param delays Decide how late orders are that get no answer.
   */
  constructor(engines: ReadonlyMap<string, SoakEngine>, delays: Draws) {
    super();
    this.#engines = engines;
    this.#delays = delays;
  }

  override async order(
    { id }: RegisteredServer,
    order: EngineOrder,
  ): Promise<OrderResult> {
    await sleep(1);
    const engine = this.#find(id);
    if (engine === undefined) return await this.#noAnswer();
    if (!engine.isLate) return this.deliver(engine, order);
    const delay = this.#delays.between(0, LONGEST_ORDER_DELAY_MILLISECONDS);
    setTimeout(() => {
      const there = this.#engines.get(id);
      if (there !== undefined) this.deliver(there, order);
    }, delay);
    return await this.#noAnswer();
  }

  override async report(
    { id }: RegisteredServer,
  ): Promise<Result<EngineReport, Failure>> {
    await sleep(1);
    const engine = this.#find(id);
    if (engine !== undefined) return ok(engine.report);
    await this.#noAnswer();
    return err({
      reason: "unavailable",
      step: "read_engine",
      peer: id,
      message: "The engine gives no answer.",
      outcome: "not_run",
    });
  }

  /**
   * Hands an order to an engine.
   * @param engine The engine.
   * @param order The order.
   * @returns What came of it.
   */
  protected deliver(engine: SoakEngine, order: EngineOrder): OrderResult {
    return engine.carryOut(order);
  }

  #find(id: string): SoakEngine | undefined {
    return this.isCut ? undefined : this.#engines.get(id);
  }

  async #noAnswer(): Promise<OrderResult> {
    await sleep(ORDER_MILLISECONDS);
    return { kind: "unknown" };
  }
}

/** What the nodes of a soak are made of; mutants make one part wrongly. */
export class NodeParts {
  /**
   * Puts what nodes can't be given in place, for the time of a run.
   * @returns Takes it away again.
   */
  install(): () => void {
    return () => undefined;
  }

  /** Makes the wire of a node. */
  wire(): RelayWire {
    return new SoakWire();
  }

  /**
   * Makes the orders of a node.
   * @param engines The engines by id.
   * @param delays Decide how late orders are that get no answer.
   * @returns The orders.
   */
  control(
    engines: ReadonlyMap<string, SoakEngine>,
    delays: Draws,
  ): SoakControl {
    return new SoakControl(engines, delays);
  }

  /**
   * Takes what the log says on its way to the node.
   * @param next The node.
   * @returns What the log tells it to.
   */
  listener(next: SharedLogListener): SharedLogListener {
    return next;
  }

  /**
   * Writes the settings of a node.
   * @param id The node.
   * @returns INI.
   */
  settings(id: string): string {
    const { share, reserve, windowMilliseconds } = RETRY_TERMS;
    return standInSettings(id, seconds(GRACE_SECONDS))
      .replace(/share = .*/, `share = ${share}`)
      .replace(/reserve = .*/, `reserve = ${reserve}`)
      .replace(
        /window_seconds = .*/,
        `window_seconds = ${windowMilliseconds / 1_000}`,
      )
      .replace(/lease_milliseconds = .*/, "lease_milliseconds = 300");
  }

  /**
   * Makes a node.
   * @param settings Its settings.
   * @param edges The outside.
   * @param loggers Its log.
   * @returns The node, not started.
   */
  daemon(
    settings: RelaySettings,
    edges: RelayPlatform,
    loggers: LoggerFactory,
  ): RelayDaemon {
    return new RelayDaemon(settings, edges, loggers);
  }
}

/**
 * Checks the settings that a node is made with.
 * @param parts What nodes are made of.
 * @param id The node.
 * @returns The settings.
 */
export function settingsOf(parts: NodeParts, id: string): RelaySettings {
  const settings = parseRelaySettings(parts.settings(id), `${id}.ini`);
  if (settings.isErr()) throw new Error(JSON.stringify(settings.error));
  return settings.value;
}
