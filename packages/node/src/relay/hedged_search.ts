/** An owner that hasn't taken a request by then is likely gone, or cut off. */
const SILENCE_MILLISECONDS = 100;

/** One question to the owner of an engine. */
export interface EngineQuestion {
  /** Cancels the question. */
  readonly signal: AbortSignal;
  /**
   * Called when the owner has queued the request.
   * @param expectedMilliseconds When its answer is overdue.
   */
  readonly onQueued: (expectedMilliseconds: number) => void;
  /** Whether the owner is silent, or its answer overdue. */
  readonly isOverdue: () => boolean;
}

/** The engines to ask, and how. */
export interface HedgedSearchOptions<Engine, Place> {
  /** The engines, best first. */
  readonly engines: readonly Engine[];
  /** Asks for a place; resolves with `undefined` if there is none. */
  readonly ask: (
    engine: Engine,
    question: EngineQuestion,
  ) => Promise<Place | undefined>;
  /** Gives back a place that isn't used. */
  readonly release: (place: Place) => void;
  /** Cancels the search. */
  readonly signal: AbortSignal;
}

/**
 * Asks the owners of engines for a place, one after the other. While an owner is
 * silent, the next one is asked too, and the first place is used: a single owner
 * that hangs delays no request for long.
 */
export class HedgedSearch<Engine, Place> {
  readonly #options: HedgedSearchOptions<Engine, Place>;
  readonly #cancellation = new AbortController();
  readonly #finished: Promise<Place | undefined>;
  #finish!: (place: Place | undefined) => void;
  #next = 0;
  /** Questions without an answer, and those of them whose owner isn't silent. */
  #open = 0;
  #responsive = 0;
  #isOver = false;

  /** @param options The engines to ask, and how. */
  constructor(options: HedgedSearchOptions<Engine, Place>) {
    this.#options = options;
    this.#finished = new Promise((resolve) => {
      this.#finish = resolve;
    });
  }

  /**
   * Searches for a place.
   * @returns The place, or `undefined` if no engine has one.
   */
  async run(): Promise<Place | undefined> {
    const { signal } = this.#options;
    const cancel = () => {
      this.#cancellation.abort();
    };
    signal.addEventListener("abort", cancel, { once: true });
    this.#askNext();
    const place = await this.#finished;
    signal.removeEventListener("abort", cancel);
    this.#cancellation.abort();
    return place;
  }

  #askNext(): void {
    if (this.#isOver || this.#responsive > 0) return;
    const engine = this.#options.signal.aborted
      ? undefined
      : this.#options.engines[this.#next];
    if (engine !== undefined) void this.#ask(engine);
    else if (this.#open === 0) this.#end(undefined);
  }

  async #ask(engine: Engine): Promise<void> {
    this.#next += 1;
    this.#open += 1;
    this.#responsive += 1;
    let isResponsive = true;
    const recordSilence = () => {
      if (!isResponsive) return;
      isResponsive = false;
      this.#responsive -= 1;
    };
    const hedge = () => {
      recordSilence();
      this.#askNext();
    };
    let timer = setTimeout(hedge, SILENCE_MILLISECONDS);
    const place = await this.#options.ask(engine, {
      signal: this.#cancellation.signal,
      onQueued: (expectedMilliseconds) => {
        clearTimeout(timer);
        if (isResponsive) timer = setTimeout(hedge, expectedMilliseconds);
      },
      isOverdue: () => !isResponsive,
    });
    clearTimeout(timer);
    this.#open -= 1;
    recordSilence();
    if (place === undefined) this.#askNext();
    else if (this.#isOver) this.#options.release(place);
    else this.#end(place);
  }

  #end(place: Place | undefined): void {
    this.#isOver = true;
    this.#finish(place);
  }
}
