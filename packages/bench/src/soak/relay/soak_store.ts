import type { Failure, Instant } from "@foxtailwind/core";
import {
  type ClaimRecord,
  type NodeRecord,
  SharedLogListener,
  type StoredOrigin,
  type StreamSourceChanges,
  type SuspicionChange,
} from "@foxtailwind/node/relay";
import { err, type Result } from "neverthrow";
import { StandInLog } from "../../relay/stand_in_log.ts";

const FAILURE: Failure = {
  reason: "unavailable",
  step: "read_log",
  peer: "store",
  message: "The store does not answer this node.",
  outcome: "not_run",
};

type News = Parameters<StandInLog["deliver"]>[0];

/** One node's view of the store, which may not answer this node. */
export class SoakLog extends StandInLog {
  readonly #unread: News[] = [];
  #isReachable = true;
  #begin: (() => void) | undefined;

  /** Whether the store answers this node. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  set isReachable(isReachable: boolean) {
    this.#isReachable = isReachable;
    if (!isReachable) return;
    this.#begin?.();
    this.#begin = undefined;
    for (const tell of this.#unread.splice(0)) super.deliver(tell);
  }

  override start(listener: SharedLogListener): void {
    const begin = () => {
      super.start(new ReachedListener(listener, this));
    };
    if (this.#isReachable) begin();
    else this.#begin = begin;
  }

  override stop(): void {
    this.#begin = undefined;
    super.stop();
  }

  override claim(
    claims: readonly ClaimRecord[],
  ): Promise<Result<boolean, Failure>> {
    return this.#isReachable
      ? super.claim(claims)
      : Promise.resolve(err(FAILURE));
  }

  override announce(node: NodeRecord): Promise<Result<boolean, Failure>> {
    return this.#isReachable
      ? super.announce(node)
      : Promise.resolve(err(FAILURE));
  }

  override changeSuspicions(
    changes: readonly SuspicionChange[],
  ): Promise<Result<void, Failure>> {
    return this.#isReachable
      ? super.changeSuspicions(changes)
      : Promise.resolve(err(FAILURE));
  }

  override changeStreamSources(
    changes: StreamSourceChanges,
  ): Promise<Result<boolean, Failure>> {
    return this.#isReachable
      ? super.changeStreamSources(changes)
      : Promise.resolve(err(FAILURE));
  }

  override readStreamSources(): Promise<boolean> {
    return this.#isReachable
      ? super.readStreamSources()
      : Promise.resolve(false);
  }

  override confirmStreamSources(): Promise<Result<boolean, Failure>> {
    return this.#isReachable
      ? super.confirmStreamSources()
      : Promise.resolve(err(FAILURE));
  }

  override appendStreamOrigins(
    origins: readonly StoredOrigin[],
  ): Promise<Result<void, Failure>> {
    return this.#isReachable
      ? super.appendStreamOrigins(origins)
      : Promise.resolve(err(FAILURE));
  }

  override readStreamOrigins(): Promise<
    Result<readonly StoredOrigin[], Failure>
  > {
    return this.#isReachable
      ? super.readStreamOrigins()
      : Promise.resolve(err(FAILURE));
  }

  override deliver(tell: News): void {
    if (this.#isReachable) super.deliver(tell);
    else this.#unread.push(tell);
  }
}

/** Passes on what a log says. */
export class PassingListener extends SharedLogListener {
  protected readonly next: SharedLogListener;

  /** @param next Takes it. */
  constructor(next: SharedLogListener) {
    super();
    this.next = next;
  }

  override get isWatcher(): boolean {
    return this.next.isWatcher;
  }

  override get readerCount(): number {
    return this.next.readerCount;
  }

  override get retriesAtFullRate(): boolean {
    return this.next.retriesAtFullRate;
  }

  override get isActive(): boolean {
    return this.next.isActive;
  }

  override beginRead(): Instant {
    return this.next.beginRead();
  }

  override operatorsRead(
    ...news: Parameters<SharedLogListener["operatorsRead"]>
  ): void {
    this.next.operatorsRead(...news);
  }

  override operatorsTold(
    ...news: Parameters<SharedLogListener["operatorsTold"]>
  ): void {
    this.next.operatorsTold(...news);
  }

  override configuration(
    ...news: Parameters<SharedLogListener["configuration"]>
  ): void {
    this.next.configuration(...news);
  }

  override adapterVersion(
    ...news: Parameters<SharedLogListener["adapterVersion"]>
  ): void {
    this.next.adapterVersion(...news);
  }

  override registryEntry(
    ...news: Parameters<SharedLogListener["registryEntry"]>
  ): void {
    this.next.registryEntry(...news);
  }

  override registryListed(
    ...news: Parameters<SharedLogListener["registryListed"]>
  ): void {
    this.next.registryListed(...news);
  }

  override registryRead(
    ...news: Parameters<SharedLogListener["registryRead"]>
  ): void {
    this.next.registryRead(...news);
  }

  override claim(...news: Parameters<SharedLogListener["claim"]>): void {
    this.next.claim(...news);
  }

  override node(...news: Parameters<SharedLogListener["node"]>): void {
    this.next.node(...news);
  }

  override suspicion(
    ...news: Parameters<SharedLogListener["suspicion"]>
  ): void {
    this.next.suspicion(...news);
  }

  override suspicionsListed(
    ...news: Parameters<SharedLogListener["suspicionsListed"]>
  ): void {
    this.next.suspicionsListed(...news);
  }

  override streamSourcesListed(
    ...news: Parameters<SharedLogListener["streamSourcesListed"]>
  ): void {
    this.next.streamSourcesListed(...news);
  }

  override streamSourceStored(
    ...news: Parameters<SharedLogListener["streamSourceStored"]>
  ): void {
    this.next.streamSourceStored(...news);
  }

  override streamSourceDropped(
    ...news: Parameters<SharedLogListener["streamSourceDropped"]>
  ): void {
    this.next.streamSourceDropped(...news);
  }

  override streamSourcesConfirmed(): void {
    this.next.streamSourcesConfirmed();
  }

  override recordSkipped(
    ...news: Parameters<SharedLogListener["recordSkipped"]>
  ): void {
    this.next.recordSkipped(...news);
  }

  override logRestored(
    ...news: Parameters<SharedLogListener["logRestored"]>
  ): void {
    this.next.logRestored(...news);
  }

  override caughtUp(): void {
    this.next.caughtUp();
  }

  override callFailed(
    ...news: Parameters<SharedLogListener["callFailed"]>
  ): void {
    this.next.callFailed(...news);
  }
}

/** Tells failures instead while the store does not answer the node. */
class ReachedListener extends PassingListener {
  readonly #log: SoakLog;

  constructor(next: SharedLogListener, log: SoakLog) {
    super(next);
    this.#log = log;
  }

  override operatorsRead(begunAt: Instant): void {
    if (this.#log.isReachable) super.operatorsRead(begunAt);
  }

  override registryRead(begunAt: Instant): void {
    if (this.#log.isReachable) super.registryRead(begunAt);
  }

  override caughtUp(): void {
    if (this.#log.isReachable) super.caughtUp();
    else this.next.callFailed(FAILURE);
  }
}
