import {
  type BackendServerId,
  isDifferentStart,
  type ServerStart,
} from "../../shared/mod.ts";
import { RecentKeys } from "../recent_keys.ts";
import type { ServerRun } from "./registered_server.ts";

/** The maximum number of servers whose departures are remembered. */
const MAXIMUM_DEPARTURES = 5_000;

/**
 * The servers whose newest start may have announced a departure that was
 * recorded for an earlier one.
 *
 * An answer doesn't name the start that gave it, and nodes learn of a restart
 * under the same id up to seconds after it. An answer that announces a
 * departure may therefore be of the start that was known when its request was
 * sent, or of the next one.
 */
export class UnconfirmedDepartures {
  readonly #departures = new RecentKeys(MAXIMUM_DEPARTURES);
  readonly #unconfirmed = new Set<BackendServerId>();

  /** The servers that have to be asked whether they leave. */
  get servers(): ReadonlySet<BackendServerId> {
    return this.#unconfirmed;
  }

  /**
   * Records that an answer announced a departure.
   * @param server The server, with the start that was known when the request
   * was sent.
   * @param newest The newest start that is known when the answer arrives.
   * @returns Whether it has become uncertain whether the newest start leaves.
   */
  recordAnswer(
    { id, start }: ServerRun,
    newest: ServerStart | undefined,
  ): boolean {
    if (isDifferentStart(newest, start)) return this.#add(id);
    this.#departures.add(id);
    return false;
  }

  /**
   * Records that a new start of a server has become known.
   * @param id The server.
   * @returns Whether it has become uncertain whether this start leaves.
   */
  recordRestart(id: BackendServerId): boolean {
    return this.#departures.delete(id) && this.#add(id);
  }

  /**
   * Records that the newest start of a server was asked whether it leaves, or
   * that there is no such server any longer.
   * @param id The server.
   */
  resolve(id: BackendServerId): void {
    this.#unconfirmed.delete(id);
  }

  #add(id: BackendServerId): boolean {
    if (this.#unconfirmed.has(id)) return false;
    this.#unconfirmed.add(id);
    return true;
  }
}
