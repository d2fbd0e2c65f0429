import type {
  AdapterId,
  BackendServerId,
  FailureDomainId,
  LogOffset,
  ModelId,
  ServerStart,
  ServiceId,
} from "../shared/mod.ts";

/** A base model on an engine, and the versions of its adapters there. */
export interface HeldModel {
  readonly model: ModelId;
  readonly adapters: ReadonlyMap<AdapterId, number>;
}

/** One start of a backend server, as it describes itself. */
export interface RegisteredServer {
  /** May outlive a start of the server. */
  readonly id: BackendServerId;
  /** Left out where the server does not tell it. */
  readonly start?: ServerStart;
  readonly service: ServiceId;
  /** IP literal and port. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly models: readonly HeldModel[];
  /** Orders that it has accepted, where it is an engine. */
  readonly orderCount: number;
}

/** Something that the registry's log says of a server. */
export type RegistryEntry =
  | {
    readonly kind: "present";
    readonly offset: LogOffset;
    readonly server: RegisteredServer;
  }
  | {
    readonly kind: "gone";
    readonly offset: LogOffset;
    readonly id: BackendServerId;
    /**
     * Whether it can't merely have lapsed with the store: an entry stands there
     * that names no server to use, or a peer has waited for it to come back.
     */
    readonly isCertain?: true;
  };

/**
 * Tells whether requests go to a server as they did. What an engine holds is
 * left out: it changes with each order, and its owner tells it sooner.
 * @param one A description of the server.
 * @param other Another one.
 * @returns Whether they agree in all that decides who may be sent what.
 */
export function isSameToCallers(
  one: RegisteredServer,
  other: RegisteredServer,
): boolean {
  return one.start === other.start && one.service === other.service &&
    one.address === other.address && one.leaving === other.leaving &&
    one.slots === other.slots &&
    one.models.length === other.models.length;
}
