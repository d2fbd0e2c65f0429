import {
  type AdapterKey,
  adapterKey,
  type DeploymentEvent,
  type DeploymentOrder,
  DeploymentPolicy,
  type EngineId,
  type Instant,
  later,
  type QueuedRequest,
  seconds,
} from "@foxtailwind/core";
import {
  emptyBook,
  type EngineBook,
  leastRecentlyUsed,
} from "./engine_book.ts";

const LOAD_RETRY = seconds(1);

/**
 * Routes each request once, when it arrives; each engine then serves its queue
 * in the order of arrival, loads first come first served, and evicts the
 * least recently used.
 */
export abstract class FirstComePolicy extends DeploymentPolicy {
  readonly #books = new Map<EngineId, EngineBook>();
  #homeless: QueuedRequest[] = [];

  /**
   * Chooses the engine for a request.
   * @param queued The request.
   * @param books The engines that are up, at least one.
   * @returns The chosen engine's book.
   */
  protected abstract route(
    queued: QueuedRequest,
    books: readonly EngineBook[],
  ): EngineBook | undefined;

  override handle(now: Instant, event: DeploymentEvent): void {
    switch (event.kind) {
      case "request_arrived":
        this.#homeless.push(event.queued);
        return;
      case "request_cancelled":
        this.#cancel(event.request);
        return;
      case "load_ended":
        this.#loadEnded(now, event);
        return;
      case "eviction_ended":
        this.#books.get(event.engine)?.adapters.delete(
          adapterKey(event.adapter),
        );
        return;
      case "request_ended":
        this.#requestEnded(now, event);
        return;
      case "engine_started":
        this.#forget(event.engine);
        this.#books.set(event.engine, emptyBook(event.engine, event.capacity));
        return;
      case "engine_left":
        this.#forget(event.engine);
        return;
      case "first_token":
      case "engine_reported":
      case "prefix_event":
      case "target_changed":
    }
  }

  override decide(now: Instant): readonly DeploymentOrder[] {
    const orders: DeploymentOrder[] = [];
    this.#routeHomeless();
    for (const book of this.#books.values()) {
      dispatch(now, { book, orders });
      loadMissing(now, { book, orders });
    }
    return orders;
  }

  override nextWake(now: Instant): Instant | undefined {
    const retries = [...this.#books.values()].flatMap((book) =>
      [...book.retryAt.values()].filter((at) => at > now)
    );
    return retries.length === 0 ? undefined : Math.min(...retries) as Instant;
  }

  #routeHomeless(): void {
    const books = [...this.#books.values()];
    if (books.length === 0) return;
    for (const queued of this.#homeless) {
      this.route(queued, books)?.queue.push(queued);
    }
    this.#homeless = [];
  }

  #cancel(request: string): void {
    const others = (queued: QueuedRequest) => queued.request !== request;
    this.#homeless = this.#homeless.filter(others);
    for (const book of this.#books.values()) {
      book.queue = book.queue.filter(others);
    }
  }

  #forget(engine: EngineId): void {
    this.#homeless.push(...this.#books.get(engine)?.queue ?? []);
    this.#books.delete(engine);
  }

  #loadEnded(
    now: Instant,
    event: DeploymentEvent & { readonly kind: "load_ended" },
  ): void {
    const book = this.#books.get(event.engine);
    const key = adapterKey(event.adapter);
    const booked = book?.adapters.get(key);
    if (book === undefined || booked === undefined) return;
    if (event.loaded) {
      booked.state = "resident";
      booked.lastUsed = now;
      book.retryAt.delete(key);
      return;
    }
    book.adapters.delete(key);
    book.retryAt.set(key, later(now, LOAD_RETRY));
  }

  #requestEnded(
    now: Instant,
    event: DeploymentEvent & { readonly kind: "request_ended" },
  ): void {
    const book = this.#books.get(event.engine);
    const key = book?.running.get(event.request);
    if (book === undefined || key === undefined) return;
    book.running.delete(event.request);
    const booked = book.adapters.get(key);
    if (booked === undefined) return;
    booked.pins -= 1;
    booked.lastUsed = now;
  }
}

interface BookDecision {
  readonly book: EngineBook;
  readonly orders: DeploymentOrder[];
}

function dispatch(now: Instant, { book, orders }: BookDecision): void {
  const kept: QueuedRequest[] = [];
  for (const queued of book.queue) {
    const key = adapterKey(queued.adapter);
    const booked = book.adapters.get(key);
    const free = book.running.size < book.capacity.batchCapacity;
    if (booked?.state !== "resident" || !free) {
      kept.push(queued);
      continue;
    }
    booked.pins += 1;
    booked.lastUsed = now;
    book.running.set(queued.request, key);
    orders.push({
      kind: "dispatch",
      engine: book.engine,
      request: queued.request,
      priority: 0,
    });
  }
  book.queue = kept;
}

function loadMissing(now: Instant, { book, orders }: BookDecision): void {
  const wanted = new Set(
    book.queue.map((queued) => adapterKey(queued.adapter)),
  );
  let evicting = countEvicting(book);
  for (const queued of book.queue) {
    const key = adapterKey(queued.adapter);
    if (book.adapters.has(key) || retriesLater(now, { book, key })) continue;
    if (book.adapters.size < book.capacity.adapterSlots) {
      startLoad(now, { book, queued, orders });
      continue;
    }
    if (evicting > 0) {
      evicting -= 1;
      continue;
    }
    const oldest = leastRecentlyUsed(book, wanted);
    if (oldest === undefined) return;
    oldest.state = "evicting";
    orders.push({
      kind: "evict",
      engine: book.engine,
      adapter: oldest.adapter,
    });
  }
}

function countEvicting(book: EngineBook): number {
  let count = 0;
  for (const booked of book.adapters.values()) {
    if (booked.state === "evicting") count += 1;
  }
  return count;
}

function retriesLater(
  now: Instant,
  entry: { readonly book: EngineBook; readonly key: AdapterKey },
): boolean {
  return (entry.book.retryAt.get(entry.key) ?? now) > now;
}

function startLoad(
  now: Instant,
  load: BookDecision & { readonly queued: QueuedRequest },
): void {
  const { adapter } = load.queued;
  load.book.adapters.set(adapterKey(adapter), {
    adapter,
    state: "loading",
    pins: 0,
    lastUsed: now,
  });
  load.orders.push({ kind: "load", engine: load.book.engine, adapter });
}
