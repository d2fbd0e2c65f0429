import {
  adapterId,
  type AdapterReference,
  adapterVersion,
  assertInvariant,
  type AttemptNumber,
  type DeliveryAction,
  type DeliveryEvent,
  type DeliveryRules,
  type Failure,
  instant,
  RequestDelivery,
  requestId,
  RetryBudget,
} from "@foxtailwind/core";
import {
  type CallerView,
  checkCaller,
  type EngineRun,
} from "./stream_caller.ts";
import type { OutcomeTimeline } from "./outcome_timeline.ts";

const ADAPTER: AdapterReference = {
  adapter: adapterId("adapter"),
  version: adapterVersion("v1"),
};

const LONGEST_FLIGHT = 30;
const FRAME_TOKENS = 3;
const MOST_TOKENS = 12;

/** Streams of generations over a path that loses, repeats and reorders. */
export class StreamWorld {
  readonly #timeline: OutcomeTimeline;
  readonly #rules: DeliveryRules;
  readonly #budget = new RetryBudget({ share: 0.5, maximum: 50 });
  readonly #callers: CallerView[] = [];

  /**
   * @param timeline The virtual time.
   * @param rules The rules of delivery.
   */
  constructor(timeline: OutcomeTimeline, rules: DeliveryRules) {
    this.#timeline = timeline;
    this.#rules = rules;
  }

  /** Lets a caller send a request. */
  sendRequest(): void {
    const { random } = this.#timeline;
    const request = requestId(`request-${this.#callers.length}`);
    const repeatable = random.happens(0.5);
    const caller: CallerView = {
      request,
      repeatable,
      delivery: new RequestDelivery({
        request,
        adapter: ADAPTER,
        repeatable,
        streamed: random.happens(0.5),
        maximumAttempts: 4,
        budget: this.#budget,
        rules: this.#rules,
      }),
      runs: [],
      got: [],
      ends: [],
    };
    this.#callers.push(caller);
    this.#carryOut(caller, caller.delivery.start());
    if (random.happens(0.05)) {
      this.#timeline.soon(LONGEST_FLIGHT, () => {
        this.#tell(caller, { kind: "caller_left" });
      });
    }
  }

  /** Checks what callers got against what the engine did. */
  check(): void {
    for (const caller of this.#callers) checkCaller(caller);
  }

  /** Checks that every caller has its only end. */
  checkEnds(): void {
    for (const { ends, request } of this.#callers) {
      assertInvariant(
        ends.length === 1,
        "one_final_answer",
        () => `${request} has ${ends.length} ends.`,
      );
    }
  }

  #tell(caller: CallerView, event: DeliveryEvent): void {
    const now = instant(this.#timeline.now);
    this.#carryOut(caller, caller.delivery.handle(now, event));
    const wake = caller.delivery.nextWakeAt;
    if (wake === undefined) return;
    this.#timeline.after(Math.max(0, wake - now), () => {
      this.#tick(caller);
    });
  }

  #tick(caller: CallerView): void {
    const now = instant(this.#timeline.now);
    this.#carryOut(caller, caller.delivery.handle(now, { kind: "tick" }));
  }

  #carryOut(caller: CallerView, actions: readonly DeliveryAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case "attempt":
          this.#timeline.soon(LONGEST_FLIGHT, () => {
            this.#arrive(caller, action);
          });
          break;
        case "pass":
          caller.got.push(...action.tokens);
          break;
        case "complete":
        case "fail":
          caller.ends.push(action);
          break;
        case "cancel":
          break;
      }
    }
  }

  #arrive(
    caller: CallerView,
    { attempt, fromSequence }: {
      readonly attempt: AttemptNumber;
      readonly fromSequence: number;
    },
  ): void {
    const { random } = this.#timeline;
    if (random.happens(0.1)) {
      this.#fail(caller, attempt, failure("unavailable", "not_run"));
      return;
    }
    if (fromSequence > 0) {
      this.#resume(caller, attempt, fromSequence);
      return;
    }
    const run = this.#startRun(caller);
    if (random.happens(0.1)) {
      this.#fail(caller, attempt, failure("timeout", "unknown"));
      return;
    }
    this.#stream(caller, { run, attempt, from: 0 });
  }

  #startRun(caller: CallerView): EngineRun {
    const length = 1 + Math.floor(this.#timeline.random.next() * MOST_TOKENS);
    const number = caller.runs.length + 1;
    const tokens = Array.from(
      { length },
      (_, sequence) => `${caller.request}/run-${number}/${sequence}`,
    );
    const run = { tokens, lost: false };
    caller.runs.push(run);
    return run;
  }

  #resume(caller: CallerView, attempt: AttemptNumber, from: number): void {
    const run = caller.runs.at(-1);
    if (run === undefined || run.lost || this.#timeline.random.happens(0.1)) {
      if (run !== undefined) run.lost = true;
      this.#fail(caller, attempt, failure("not_found", "not_run"));
      return;
    }
    this.#stream(caller, { run, attempt, from });
  }

  #stream(
    caller: CallerView,
    { run, attempt, from }: {
      readonly run: EngineRun;
      readonly attempt: AttemptNumber;
      readonly from: number;
    },
  ): void {
    const { random } = this.#timeline;
    const breaks = random.happens(0.3);
    const keeps = breaks ? random.next() * run.tokens.length : Infinity;
    let delay = 0;
    for (let at = from; at < run.tokens.length; at += FRAME_TOKENS) {
      if (at >= keeps) break;
      delay += random.next() * LONGEST_FLIGHT;
      this.#sendFrame(caller, { run, attempt, at, delay });
    }
    this.#timeline.after(delay + 1, () => {
      this.#endStream(caller, { run, attempt, breaks });
    });
  }

  #sendFrame(
    caller: CallerView,
    frame: {
      readonly run: EngineRun;
      readonly attempt: AttemptNumber;
      readonly at: number;
      readonly delay: number;
    },
  ): void {
    const { random } = this.#timeline;
    const { run, attempt, at, delay } = frame;
    if (random.happens(0.03)) return;
    const copies = random.happens(0.05) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const late = random.happens(0.05) ? random.next() * 10 : 0;
      this.#timeline.after(delay + late * LONGEST_FLIGHT, () => {
        const reader = random.happens(0.02)
          ? this.#timeline.pick(this.#callers)
          : caller;
        this.#tell(reader, {
          kind: "frame",
          frame: {
            request: caller.request,
            attempt,
            sequence: at,
            tokens: run.tokens.slice(at, at + FRAME_TOKENS),
            adapter: ADAPTER,
          },
        });
      });
    }
  }

  #endStream(
    caller: CallerView,
    { run, attempt, breaks }: {
      readonly run: EngineRun;
      readonly attempt: AttemptNumber;
      readonly breaks: boolean;
    },
  ): void {
    if (breaks) {
      this.#fail(caller, attempt, failure("unavailable", "unknown"));
      return;
    }
    this.#tell(caller, {
      kind: "completed",
      attempt,
      totals: {
        finishReason: "stop",
        promptTokens: 1,
        completionTokens: run.tokens.length,
        cachedPromptTokens: 0,
      },
    });
  }

  #fail(caller: CallerView, attempt: AttemptNumber, reason: Failure): void {
    this.#timeline.soon(LONGEST_FLIGHT, () => {
      this.#tell(caller, { kind: "failed", attempt, failure: reason });
    });
  }
}

function failure(
  reason: Failure["reason"],
  outcome: Failure["outcome"],
): Failure {
  return {
    reason,
    step: "generate",
    peer: "engine",
    message: "A fault of the run.",
    outcome,
  };
}
