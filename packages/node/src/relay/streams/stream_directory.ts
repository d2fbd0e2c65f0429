import {
  failureDomainId,
  type HolderCandidate,
  HolderRing,
  type Instant,
  milliseconds,
  type NodeId,
  nodeId,
  rendezvousOrder,
  type RequestId,
  requestId,
  type StreamOrigin,
  StreamOrigins,
} from "@foxtailwind/core";
import {
  RelayPeersClient,
  type RelayPeersServer,
  type StreamOriginAnswer,
} from "@foxtailwind/protocol";
import { credentials, Metadata } from "@grpc/grpc-js";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { PeerChannels } from "../../peers/peer_channels.ts";
import type { Knowledge } from "../knowledge.ts";
import type { PeerDatagrams } from "../peer_datagrams.ts";
import type { NodeRecord } from "../shared_log.ts";
import type { StreamArchive } from "./stream_archive.ts";
import {
  decodeStreamOrigin,
  encodeStreamOrigin,
} from "./stream_origin_message.ts";

/** What is known of the begin of a stream. */
export type OriginLookup =
  | { readonly kind: "known"; readonly origin: StreamOrigin }
  /** No node that could be asked knows what began it. */
  | { readonly kind: "unknown" }
  /** Another start of its server, with other software, may have begun it. */
  | { readonly kind: "uncertain" };

/** The dependencies of {@link StreamDirectory}. */
export interface StreamDirectoryParts {
  readonly knowledge: Knowledge;
  readonly channels: PeerChannels;
  /** Carries origins; several peers keep each, since some may be lost. */
  readonly datagrams: PeerDatagrams;
  readonly clock: SteadyClock;
  readonly self: HolderCandidate;
  /** Writes origins to the log, and reads them from it. */
  readonly archive: Pick<StreamArchive, "add" | "find">;
}

/** The peers that keep what began a stream, beside the node that sent it. */
const HOLDER_COUNT = 6;
/**
 * The peers asked, of those that are present and of all that were lately: more
 * than hold it, since nodes don't always know the same peers.
 */
const ASKED_PEER_COUNT = 8;
/** The timeout of calls; a peer answers within a few milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 300;
/** The nodes that write origins to the log on behalf of all. */
const WRITER_COUNT = 2;
/** The key by which these nodes are chosen. */
const WRITERS_KEY = "stream-origins";
/** How long the peers that hold origins are not determined anew. */
const RING_LIFETIME = milliseconds(250);

/** The rings of the peers, and the peers' records. */
interface PeerRings {
  readonly madeAt: Instant;
  readonly present: HolderRing;
  /** Of peers that were heard of lately, too. */
  readonly recent: HolderRing;
  readonly records: ReadonlyMap<NodeId, NodeRecord>;
  /** The nodes that write origins to the log. */
  readonly writers: readonly NodeId[];
}

type StreamHandlers = Pick<RelayPeersServer, "findStreamOrigin">;

/**
 * Knows what began streams, so that any node can continue them: the node that
 * forwards the first event of a stream keeps its origin, and so do some peers.
 */
export class StreamDirectory {
  readonly #parts: StreamDirectoryParts;
  readonly #origins = new StreamOrigins();
  #rings: PeerRings | undefined;

  /** @param parts The dependencies. */
  constructor(parts: StreamDirectoryParts) {
    this.#parts = parts;
    parts.datagrams.addListener(({ streamOrigin, archivedOrigin }) => {
      const now = parts.clock.now();
      if (streamOrigin !== undefined) {
        parts.knowledge.workCounts.increment("origin_kept");
        this.#origins.add(now, decodeStreamOrigin(now, streamOrigin));
      }
      if (archivedOrigin !== undefined) {
        parts.archive.add(decodeStreamOrigin(now, archivedOrigin));
      }
    });
  }

  /** The handlers of peers' calls. */
  get handlers(): StreamHandlers {
    return {
      findStreamOrigin: ({ request }, answer) => {
        this.#parts.knowledge.workCounts.increment("origin_answered");
        answer(null, this.#answer(requestId(request.attempt)));
      },
    };
  }

  /**
   * Records what began a stream, here and at peers.
   * @param origin What began the stream.
   */
  record(origin: StreamOrigin): void {
    const now = this.#parts.clock.now();
    this.#origins.add(now, origin);
    const { present, records } = this.#ringsAt(now);
    const addresses = present.holders(origin.attempt, HOLDER_COUNT)
      .flatMap((id) => records.get(id)?.address ?? []);
    this.#parts.knowledge.workCounts.increment("origin_sent");
    this.#parts.datagrams.send({
      streamOrigin: encodeStreamOrigin(now, origin),
      registryChange: undefined,
      archivedOrigin: undefined,
    }, addresses);
  }

  /**
   * Has an origin written to the log by one of the nodes that write.
   * @param origin What began the stream.
   */
  archive(origin: StreamOrigin): void {
    const now = this.#parts.clock.now();
    const { writers, records } = this.#ringsAt(now);
    const [writer] = rendezvousOrder(origin.attempt, writers);
    const address = writer && records.get(writer)?.address;
    if (address === undefined) {
      this.#parts.archive.add(origin);
      return;
    }
    this.#parts.datagrams.send({
      streamOrigin: undefined,
      registryChange: undefined,
      archivedOrigin: encodeStreamOrigin(now, origin),
    }, [address]);
  }

  /**
   * Finds what began a stream in the log, where origins are only written while
   * several may be meant.
   * @param attempt The caller's attempt that brought the first event.
   * @returns What is known.
   */
  async findArchived(attempt: RequestId): Promise<OriginLookup> {
    return await this.#parts.archive.find(attempt);
  }

  /**
   * Finds what began a stream.
   * @param attempt The caller's attempt that brought the first event.
   * @returns What is known.
   */
  async find(attempt: RequestId): Promise<OriginLookup> {
    const known = this.#origins.find(attempt);
    if (known !== undefined) return this.#lookupOf(known);
    const now = this.#parts.clock.now();
    const { present, recent, records } = this.#ringsAt(now);
    const asked = new Set([
      ...present.holders(attempt, ASKED_PEER_COUNT),
      ...recent.holders(attempt, ASKED_PEER_COUNT),
    ]);
    const answers = [...asked].map(async (id) => {
      const lookup = await this.#ask(records.get(id)?.address, attempt);
      // Rejected, so that the first peer that knows the origin decides.
      if (lookup === undefined) throw new RangeError("The peer doesn't know.");
      return lookup;
    });
    return await Promise.any(answers).catch(() => ({ kind: "unknown" }));
  }

  #lookupOf(origin: StreamOrigin): OriginLookup {
    return this.#parts.knowledge.softwareHistory.isUncertain(origin)
      ? { kind: "uncertain" }
      : { kind: "known", origin };
  }

  #answer(attempt: RequestId): StreamOriginAnswer {
    const origin = this.#origins.find(attempt);
    if (origin === undefined) return { origin: undefined, isUncertain: false };
    return {
      origin: encodeStreamOrigin(this.#parts.clock.now(), origin),
      isUncertain: this.#lookupOf(origin).kind === "uncertain",
    };
  }

  #ask(
    address: string | undefined,
    attempt: RequestId,
  ): Promise<OriginLookup | undefined> {
    if (address === undefined) return Promise.resolve(undefined);
    this.#parts.knowledge.workCounts.increment("origin_asked");
    return new Promise((resolve) => {
      this.#client(address).findStreamOrigin(
        { attempt },
        new Metadata(),
        { deadline: Date.now() + CALL_TIMEOUT_MILLISECONDS },
        (error, answer?: StreamOriginAnswer) => {
          if (error !== null || answer?.origin === undefined) {
            resolve(undefined);
            return;
          }
          if (answer.isUncertain) {
            resolve({ kind: "uncertain" });
            return;
          }
          const now = this.#parts.clock.now();
          const origin = decodeStreamOrigin(now, answer.origin);
          this.#origins.add(now, origin);
          resolve(this.#lookupOf(origin));
        },
      );
    });
  }

  #ringsAt(now: Instant): PeerRings {
    const known = this.#rings;
    if (known !== undefined && now - known.madeAt < RING_LIFETIME) return known;
    const { peers } = this.#parts.knowledge;
    const recent = peers.contacts(now);
    this.#rings = {
      madeAt: now,
      present: new HolderRing(peers.presentNodes(now)),
      recent: new HolderRing(recent),
      records: new Map(recent.map((record) => [record.id, record])),
      writers: this.#writersAt(now),
    };
    return this.#rings;
  }

  /** Chooses the nodes that write from those that reach the log. */
  #writersAt(now: Instant): readonly NodeId[] {
    const { knowledge, self } = this.#parts;
    const candidates = knowledge.peers.alive(now)
      .filter(({ reachesLog }) => reachesLog)
      .map(({ node, failureDomain }) => ({
        id: nodeId(node),
        failureDomain: failureDomainId(failureDomain),
      }));
    if (knowledge.isLogReachable(now)) candidates.push(self);
    return new HolderRing(candidates).holders(WRITERS_KEY, WRITER_COUNT);
  }

  #client(address: string): RelayPeersClient {
    return new RelayPeersClient(address, credentials.createInsecure(), {
      channelOverride: this.#parts.channels.getChannel(address),
    });
  }
}
