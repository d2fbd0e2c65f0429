import { type Instant, type NodeId, nodeId } from "@foxtailwind/core";
import type {
  ExchangeAnswer,
  ExchangeQuestion,
  NodeDigest,
} from "@foxtailwind/protocol";
import type { PeerTable } from "./peer_table.ts";
import { decodeAge } from "./encoded_age.ts";

/** What a node wants to hear from a partner. */
export interface ExchangeScope {
  readonly wantsOthers: boolean;
  readonly wantsEngines: boolean;
}

interface ReportedNode {
  readonly id: NodeId;
  readonly incarnation: string;
}

/**
 * What one partner has told and has been told, so that each exchange carries
 * only what has changed since, and how long ago each node was heard.
 */
export class ExchangePartner {
  readonly #self: NodeId;
  readonly #peers: PeerTable;
  #id: NodeId | undefined;
  #incarnation = "";
  /** Up to which of its changes the partner's run has told of others. */
  #cursor = 0;
  #receivedEngines = false;
  /** The sequence of this node's engines that the partner knows. */
  #acknowledgedEngines = 0;
  readonly #reportedNodes = new Map<number, ReportedNode>();

  /**
   * @param self This node.
   * @param peers Takes what the partner tells.
   */
  constructor(self: NodeId, peers: PeerTable) {
    this.#self = self;
    this.#peers = peers;
  }

  /**
   * Writes the next question.
   * @param own What this node says of itself.
   * @param scope What it wants to hear.
   * @returns The question.
   */
  nextQuestion(own: NodeDigest, scope: ExchangeScope): ExchangeQuestion {
    const areEnginesKnown =
      own.engineStates?.sequence === this.#acknowledgedEngines;
    const needsAll = scope.wantsEngines && !this.#receivedEngines;
    return {
      own: areEnginesKnown ? { ...own, engineStates: undefined } : own,
      wantsOthers: scope.wantsOthers,
      wantsEngines: scope.wantsEngines,
      incarnation: this.#incarnation,
      cursor: needsAll ? 0 : this.#cursor,
      knownEngines: this.#id === undefined
        ? 0
        : this.#peers.knownEngineSequence(this.#id, this.#incarnation),
    };
  }

  /**
   * Takes an answer.
   * @param now The present time.
   * @param answer The answer.
   * @param scope What was asked for.
   * @returns Whether a node has come, has begun to stop or has started again.
   */
  applyAnswer(
    now: Instant,
    answer: ExchangeAnswer,
    scope: ExchangeScope,
  ): boolean {
    const { own } = answer;
    if (own === undefined) return false;
    this.#id = nodeId(own.node);
    if (own.incarnation !== this.#incarnation) this.#resetProgress();
    this.#incarnation = own.incarnation;
    // What an answer was not asked for it has not told.
    if (scope.wantsOthers) {
      this.#cursor = answer.cursor;
      this.#receivedEngines = scope.wantsEngines;
    }
    this.#acknowledgedEngines = answer.knownEngines;
    const isStatusChange = this.#peers.heard(now, own);
    return this.#applyRelayedNews(now, answer) || isStatusChange;
  }

  /** Nothing that an earlier run has told counts for a later one. */
  #resetProgress(): void {
    this.#reportedNodes.clear();
    this.#cursor = 0;
    this.#receivedEngines = false;
  }

  #applyRelayedNews(now: Instant, { news, ages }: ExchangeAnswer): boolean {
    let isStatusChange = false;
    for (const { index, digest } of news) {
      if (digest === undefined) continue;
      const id = nodeId(digest.node);
      this.#reportedNodes.set(index, { id, incarnation: digest.incarnation });
      const age = decodeAge(ages[index]);
      if (age === undefined || id === this.#self) continue;
      const origin = { age, isRelayed: true };
      if (this.#peers.heard(now, digest, origin)) isStatusChange = true;
    }
    for (const [index, { id, incarnation }] of this.#reportedNodes) {
      const age = decodeAge(ages[index]);
      if (age === undefined || id === this.#self) continue;
      if (this.#peers.recordRelayedContact(now, id, incarnation, age)) {
        isStatusChange = true;
      }
    }
    return isStatusChange;
  }
}

/**
 * Answers a partner's question with what it has not heard.
 * @param now The present time.
 * @param peers What this node has heard.
 * @param own What this node says of itself.
 * @param question The question, whose digest this node has taken.
 * @returns The answer.
 */
export function answerExchange(
  now: Instant,
  peers: PeerTable,
  own: NodeDigest,
  question: ExchangeQuestion,
): ExchangeAnswer {
  const { own: asker, wantsOthers, wantsEngines } = question;
  const isSameRun = question.incarnation === own.incarnation;
  const knownEngines = isSameRun ? question.knownEngines : 0;
  const omitsEngines = !wantsEngines ||
    own.engineStates?.sequence === knownEngines;
  const cursor = isSameRun ? question.cursor : 0;
  return {
    own: omitsEngines ? { ...own, engineStates: undefined } : own,
    cursor: peers.cursor,
    news: wantsOthers ? [...peers.newsFor(now, { cursor, wantsEngines })] : [],
    ages: wantsOthers ? peers.ages(now) : [],
    knownEngines: asker === undefined
      ? 0
      : peers.knownEngineSequence(nodeId(asker.node), asker.incarnation),
  };
}
