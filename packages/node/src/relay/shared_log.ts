import type {
  AdapterId,
  BackendServerId,
  CrashSuspicion,
  Duration,
  Failure,
  FailureDomainId,
  Instant,
  LogEra,
  LogOffset,
  ModelId,
  NodeId,
  RegistryEntry,
  RelayConfiguration,
  StreamOrigin,
  StreamSource,
  SuspicionKey,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** A claim of an engine's ownership, as stored in the log. */
export interface ClaimRecord {
  readonly engine: BackendServerId;
  readonly owner: NodeId;
  readonly incarnation: string;
  /** How long the owner waits before its first order. */
  readonly wait: Duration;
}

/** The identity and address of a node, as stored in the log. */
export interface NodeRecord {
  readonly id: NodeId;
  readonly incarnation: string;
  /** The IP literal and port for other nodes. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  /** The capacity of its VM in thousandths of a processor; 0 if not stated. */
  readonly capacity: number;
}

/** A suspicion that a request crashes servers, to be added or dropped. */
export type SuspicionChange =
  | { readonly kind: "added"; readonly suspicion: CrashSuspicion }
  | { readonly kind: "dropped"; readonly key: SuspicionKey };

/** What began a stream, as stored in the log. */
export type StoredOrigin = Omit<StreamOrigin, "begunAt">;

/** Changes of the software that may begin streams. */
export interface StreamSourceChanges {
  readonly added: readonly StreamSource[];
  readonly dropped: readonly StreamSource[];
}

/** The topic of a record of the log. */
export type RecordTopic = "operators" | "servers" | "nodes";

/**
 * Why a record can't be used: its key is not a name, it is too large, its bytes
 * are not valid text, the text is not valid JSON, or its fields are invalid.
 */
export type SkipReason = "key" | "size" | "bytes" | "json" | "fields";

/** Receives the records and the state of the platform's log. */
export abstract class SharedLogListener {
  /**
   * Whether this node watches the operators' records on behalf of all nodes,
   * and so must not rely on notifications from others.
   */
  abstract get isWatcher(): boolean;
  /**
   * Whether this node is one of the few that keep calling an unreachable log as
   * often as in a small cluster.
   */
  abstract get retriesAtFullRate(): boolean;
  /** The number of nodes that read the log, including this one. */
  abstract get readerCount(): number;
  /** Whether this node places requests and so needs new claims at once. */
  abstract get isActive(): boolean;
  /** A configuration, which may be older than one received before. */
  abstract configuration(configuration: RelayConfiguration): void;
  /** An adapter version set by operators. */
  abstract adapterVersion(
    model: ModelId,
    adapter: AdapterId,
    version: number,
  ): void;
  /**
   * The operators' records have been delivered up to an offset, which is the
   * same for all nodes.
   */
  abstract operatorsTold(end: LogOffset): void;
  /**
   * A read of the operators' records or of the registry begins.
   * @returns The present time, to be passed to {@link operatorsRead} or
   * {@link registryRead}.
   */
  abstract beginRead(): Instant;
  /**
   * All of the operators' records that the log acknowledged before a read began
   * have been delivered.
   */
  abstract operatorsRead(begunAt: Instant): void;
  /** An entry of the registry of backend servers. */
  abstract registryEntry(entry: RegistryEntry): void;
  /** The whole registry, complete up to an offset. */
  abstract registryListed(
    entries: readonly RegistryEntry[],
    end: LogOffset,
  ): void;
  /**
   * All entries of the registry that the log acknowledged before a read began
   * have been delivered.
   */
  abstract registryRead(begunAt: Instant): void;
  /** A claim of an engine's ownership. */
  abstract claim(claim: ClaimRecord, offset: LogOffset): void;
  /** A node that has started. */
  abstract node(node: NodeRecord): void;
  /** A suspicion that a request crashes servers was added or dropped. */
  abstract suspicion(change: SuspicionChange): void;
  /** All suspicions that the log holds. */
  abstract suspicionsListed(suspicions: readonly CrashSuspicion[]): void;
  /**
   * All software that may begin streams, as the log holds it. Called after the
   * nodes of the same listing.
   * @param sources The software.
   * @param isConfirmed Whether a node has confirmed that none is missing since
   * the log last came back from an older copy.
   */
  abstract streamSourcesListed(
    sources: readonly StreamSource[],
    isConfirmed: boolean,
  ): void;
  /** Software that may begin streams was stored in the log. */
  abstract streamSourceStored(source: StreamSource): void;
  /** Software was dropped, of which no stream can be resumed any more. */
  abstract streamSourceDropped(source: StreamSource): void;
  /** A node has confirmed that no software is missing in the log. */
  abstract streamSourcesConfirmed(): void;
  /** A record can't be read and was skipped; called once for each record. */
  abstract recordSkipped(topic: RecordTopic, reason: SkipReason): void;
  /** The log has been read up to its end. */
  abstract caughtUp(): void;
  /**
   * The log has come back from an older copy, which was listed: what nodes have
   * written lately may be missing from it.
   * @param era Counts how often that has happened.
   */
  abstract logRestored(era: LogEra): void;
  /** A call to the log has failed. */
  abstract callFailed(failure: Failure): void;
}

/** The platform's log as used by the relay. */
export abstract class SharedLog {
  /**
   * Starts to follow the log.
   * @param listener Receives its records.
   */
  abstract start(listener: SharedLogListener): void;

  /**
   * Adds claims, unless the log has grown since it was last read.
   * @param claims The claims.
   * @returns Whether they were added; after a failure they may still be added.
   */
  abstract claim(
    claims: readonly ClaimRecord[],
  ): Promise<Result<boolean, Failure>>;

  /** Reads the claims added since the last read. */
  abstract catchUp(): Promise<void>;

  /** Reads the operators' records now, unless a read is in progress. */
  abstract readOperators(): void;

  /** Reads the registry of servers now, unless a read is in progress. */
  abstract readRegistry(): void;

  /** Reads the claims soon, because this node has begun to place requests. */
  abstract catchUpSoon(): void;

  /**
   * Announces this node.
   * @param node The record of this node.
   * @returns Whether it was added.
   */
  abstract announce(node: NodeRecord): Promise<Result<boolean, Failure>>;

  /**
   * Adds and drops suspicions that requests crash servers; idempotent.
   * @param changes The changes.
   * @returns The result; after a failure the changes may still be made.
   */
  abstract changeSuspicions(
    changes: readonly SuspicionChange[],
  ): Promise<Result<void, Failure>>;

  /**
   * Stores and drops software that may begin streams. Nothing is dropped if the
   * log has grown since it was last read.
   * @param changes The changes.
   * @returns Whether they were made; after a failure they still may be.
   */
  abstract changeStreamSources(
    changes: StreamSourceChanges,
  ): Promise<Result<boolean, Failure>>;

  /**
   * Reads the software that may begin streams.
   * @returns Whether all that the log held before this call was delivered.
   */
  abstract readStreamSources(): Promise<boolean>;

  /**
   * Confirms that the log holds all software that may have begun streams, unless
   * the log has grown since it was last read.
   * @returns Whether it was confirmed.
   */
  abstract confirmStreamSources(): Promise<Result<boolean, Failure>>;

  /**
   * Adds what began streams.
   * @param origins The origins.
   * @returns The result; after a failure they may still be added.
   */
  abstract appendStreamOrigins(
    origins: readonly StoredOrigin[],
  ): Promise<Result<void, Failure>>;

  /**
   * Reads what began streams, as far as the log still keeps it.
   * @returns The origins that were added since this node last read them.
   */
  abstract readStreamOrigins(): Promise<
    Result<readonly StoredOrigin[], Failure>
  >;

  /** Stops following the log. */
  abstract stop(): void;
}
