import type {
  AdapterId,
  BackendServerId,
  FailureDomainId,
  LogOffset,
  ModelId,
  ServerStart,
  ServiceId,
  SoftwareVersion,
} from "../../shared/mod.ts";

/** A base model on an engine, and the versions of its adapters there. */
export interface HeldModel {
  readonly model: ModelId;
  readonly adapters: ReadonlyMap<AdapterId, number>;
}

/** One start of a backend server, as it describes itself. */
export interface RegisteredServer {
  /** May be reused by a later start of the server. */
  readonly id: BackendServerId;
  /** Omitted if the server does not tell it. */
  readonly start?: ServerStart;
  readonly service: ServiceId;
  /** Servers of a service may run several versions side by side. */
  readonly software: SoftwareVersion;
  /** IP literal and port. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
  /** The number of requests that it runs concurrently. */
  readonly slots: number;
  readonly models: readonly HeldModel[];
  /** The number of orders that it has accepted, if it is an engine. */
  readonly orderCount: number;
}

/** One start of a server; without a start, the newest one that is known. */
export type ServerRun = Pick<RegisteredServer, "id" | "start">;

/** An entry of the registry's log about a server. */
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
     * Set if the entry can't merely have lapsed with the store: either the
     * stored entry names no usable server, or a peer has waited for it to come
     * back.
     */
    readonly isCertain?: true;
  };

/**
 * Checks whether two descriptions of a server are equivalent for sending
 * requests to it. The adapters that an engine holds are ignored: they change
 * with each order, and its owner reports them sooner.
 * @param left A description of the server.
 * @param right Another description of the server.
 * @returns Whether they agree in everything that decides which requests it
 * gets.
 */
export function isRoutingEquivalent(
  left: RegisteredServer,
  right: RegisteredServer,
): boolean {
  return left.start === right.start && left.service === right.service &&
    left.software === right.software &&
    left.address === right.address && left.leaving === right.leaving &&
    left.slots === right.slots &&
    left.models.length === right.models.length;
}
