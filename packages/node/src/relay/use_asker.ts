import {
  expectedLoadTime,
  isDifferentStart,
  isOlderStart,
  milliseconds,
  needsBreaks,
  RecentRefusals,
  type RegisteredServer,
  type ServerStart,
} from "@foxtailwind/core";
import { TimeLimitedSignal } from "@foxtailwind/edges";
import type { EngineOwnerAddress, GrantAnswer } from "./adapter_grants.ts";
import type { EngineCandidate } from "./engine_candidates.ts";
import type { UseRequest } from "./engine_use.ts";
import type { EngineQuestion } from "./hedged_search.ts";
import type { Placement, PlacementRound } from "./placement.ts";
import type { RequestPlacerParts } from "./request_placer.ts";

/** The timeout of an owner's answer if the engine holds the adapter. */
const HELD_ADAPTER_TIMEOUT_MILLISECONDS = 250;
/** The timeout of an owner's answer, with a load, before another is asked. */
const ADAPTER_LOAD_TIMEOUT_MILLISECONDS = 1_000;
/** How much later than expected the answer of a queued request is overdue. */
const OVERDUE_MILLISECONDS = 400;
/**
 * Without a grant, an engine's software is certain only if the registry is at
 * most this old: a restarted engine needs longer to load a model.
 */
const REGISTRY_AGE_LIMIT_MILLISECONDS = 500;
/** An owner's answer should arrive before the request stops waiting for it. */
const ANSWER_MARGIN_MILLISECONDS = 20;

type Grant = Extract<GrantAnswer, { readonly kind: "granted" }>;

const noop = () => undefined;

/** Asks the owners of engines for places, one question at a time. */
export class UseAsker {
  readonly #parts: RequestPlacerParts;
  readonly #refusals = new RecentRefusals();

  /** @param parts The dependencies. */
  constructor(parts: RequestPlacerParts) {
    this.#parts = parts;
  }

  /**
   * Asks an engine's owner for a place.
   * @param engine The engine.
   * @param round What the request needs.
   * @param question Cancels the question, and hears that it is queued.
   * @returns The placement, or `undefined` if there is none.
   */
  async ask(
    engine: EngineCandidate,
    round: PlacementRound,
    question: EngineQuestion,
  ): Promise<Placement | undefined> {
    const { server } = engine;
    if (!this.#takesRequests(server) || this.#isOver(round)) return undefined;
    if (!this.#hasRoom(engine) || !this.#parts.limits.tryTake(server)) {
      return undefined;
    }
    const placement = await this.#requestUse(engine, round, question);
    if (placement === undefined) this.#parts.limits.refund(server);
    return placement;
  }

  /** Whether an engine probably has room for the request. */
  #hasRoom({ id, holdsAdapter, isLoading }: EngineCandidate): boolean {
    const now = this.#parts.clock.now();
    return holdsAdapter || isLoading || !this.#refusals.isLikelyFull(now, id);
  }

  async #requestUse(
    engine: EngineCandidate,
    round: PlacementRound,
    question: EngineQuestion,
  ): Promise<Placement | undefined> {
    const { server, owner, address } = engine;
    const { onAnswer } = round.search;
    if (owner === undefined || address === undefined) {
      onAnswer({ engine: engine.id, answer: "no_owner" });
      return engine.holdsAdapter && this.#runsKnownSoftware(server, round)
        ? { server, release: noop, reportMiss: noop }
        : undefined;
    }
    const target = { engine: engine.id, owner, address };
    if (owner !== this.#parts.self) {
      this.#parts.knowledge.workCounts.increment("use_asked");
    }
    const answer = await this.#requestAnswer(
      target,
      engine,
      this.#createRequest(engine, round),
      question,
    );
    const isWithdrawn = question.signal.aborted && !question.isOverdue() &&
      answer.kind === "unreachable";
    onAnswer({
      engine: engine.id,
      owner,
      answer: isWithdrawn ? "withdrawn" : answer.kind,
    });
    if (answer.kind === "no_room") {
      const { retryAfter } = answer;
      if (retryAfter === undefined) {
        this.#refusals.recordRefusal(this.#parts.clock.now(), engine.id);
      } else {
        round.refusals.set(engine.id, { engine: engine.id, retryAfter });
      }
    }
    const takesRequests = this.#takesRequests(server) &&
      this.#parts.limits.backoff(server) === 0;
    if (answer.kind === "granted") {
      const { version, release, start } = answer;
      const isUsable = takesRequests && !this.#hasEnded(target, answer) &&
        this.#runsKnownSoftware(server, round, start);
      if (!isUsable) {
        release();
        return undefined;
      }
      return {
        server,
        ...(version === 0 ? {} : { adapterVersion: version }),
        release,
        reportMiss: () => {
          this.#parts.grants.reportMiss(target);
        },
      };
    }
    const runsWithoutGrant = engine.holdsAdapter && !engine.isFull &&
      answer.kind !== "no_room";
    return runsWithoutGrant && takesRequests && !question.signal.aborted &&
        this.#runsKnownSoftware(server, round)
      ? { server, release: noop, reportMiss: noop }
      : undefined;
  }

  /** Requests a use; an owner that doesn't take it up is given up. */
  async #requestAnswer(
    target: EngineOwnerAddress,
    { holdsAdapter, expectedWait, load }: EngineCandidate,
    request: UseRequest,
    question: EngineQuestion,
  ): Promise<GrantAnswer> {
    const answerTimeout = holdsAdapter
      ? HELD_ADAPTER_TIMEOUT_MILLISECONDS
      : ADAPTER_LOAD_TIMEOUT_MILLISECONDS;
    const cancellation = new AbortController();
    const cancel = () => {
      cancellation.abort();
    };
    const silence = new TimeLimitedSignal(
      question.signal,
      Math.ceil(expectedWait + answerTimeout),
    );
    silence.signal.addEventListener("abort", cancel, { once: true });
    const answer = await this.#parts.grants.requestUse(
      target,
      request,
      cancellation.signal,
      () => {
        silence.release();
        question.signal.addEventListener("abort", cancel, { once: true });
        const loadTime = holdsAdapter ? 0 : expectedLoadTime(load);
        question.onQueued(expectedWait + loadTime + OVERDUE_MILLISECONDS);
      },
    );
    silence.release();
    question.signal.removeEventListener("abort", cancel);
    return answer;
  }

  #createRequest(
    { server, prefillTime }: EngineCandidate,
    { use, minimumVersion, search, onlyInTime }: PlacementRound,
  ): UseRequest {
    const { firstEventDeadline, longestPause, queueing } = search;
    const now = this.#parts.clock.now();
    const { tokenTime } = this.#parts.loads.loadOf(server).prefillTimes;
    return {
      model: use.model,
      ...(use.adapter === undefined ? {} : { adapter: use.adapter }),
      minimumVersion,
      prefillTime,
      timeLeft: milliseconds(firstEventDeadline - now),
      needsBreak: longestPause !== undefined &&
        needsBreaks(tokenTime, longestPause),
      ...(queueing === undefined ? {} : {
        queueing: {
          priority: queueing.priority,
          account: queueing.account,
          work: use.promptTokens + use.outputTokens,
          longestWait: milliseconds(
            Math.max(1, queueing.waitsUntil - now - ANSWER_MARGIN_MILLISECONDS),
          ),
          onlyInTime,
        },
      }),
    };
  }

  /** Whether the request stops waiting before an answer could arrive. */
  #isOver({ search: { queueing } }: PlacementRound): boolean {
    if (queueing === undefined) return false;
    const left = queueing.waitsUntil - this.#parts.clock.now();
    return left <= ANSWER_MARGIN_MILLISECONDS;
  }

  /** Whether an engine takes requests; it may leave while owners are asked. */
  #takesRequests(server: RegisteredServer): boolean {
    return this.#parts.knowledge.departures.takesRequests(server);
  }

  /**
   * Whether an engine runs the software that was registered when it was chosen,
   * if that matters. Its owner hears of another start before it is registered,
   * and a node that is cut off may not hear of it at all.
   * @param server The engine, as registered when it was chosen.
   * @param round What the request needs.
   * @param granted The start that its owner has granted a use for, if known.
   */
  #runsKnownSoftware(
    { id, start }: RegisteredServer,
    { search }: PlacementRound,
    granted?: ServerStart,
  ): boolean {
    if (!search.needsKnownSoftware || start === undefined) return true;
    const { registry, registryProofs } = this.#parts.knowledge;
    if (granted !== undefined) return granted === start;
    const { age } = registryProofs;
    return !isDifferentStart(start, registry.find(id)?.start) &&
      age !== undefined && age <= REGISTRY_AGE_LIMIT_MILLISECONDS;
  }

  /** Whether a use was granted for a start that has ended. */
  #hasEnded(target: EngineOwnerAddress, { start, endSignal }: Grant): boolean {
    if (endSignal.aborted) return true;
    // An owner on this node knows everything that this node's registry knows.
    if (target.owner === this.#parts.self) return false;
    const known = this.#parts.knowledge.registry.find(target.engine);
    return isOlderStart(start, known?.start);
  }
}
