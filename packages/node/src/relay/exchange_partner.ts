import { type Instant, type NodeId, nodeId } from "@foxtailwind/core";
import type {
  ExchangeAnswer,
  ExchangeQuestion,
  NodeDigest,
} from "@foxtailwind/protocol";
import type { PeerBook } from "./peer_book.ts";
import { ageOf } from "./told_age.ts";

/** What a node wants to hear from a partner. */
export interface ExchangeWishes {
  readonly wantsOthers: boolean;
  readonly wantsEngines: boolean;
}

interface ToldNode {
  readonly id: NodeId;
  readonly incarnation: string;
}

/**
 * What one partner has told and has been told, so that each exchange carries
 * only what has changed since, and how long ago each node was heard.
 */
export class ExchangePartner {
  readonly #self: NodeId;
  readonly #peers: PeerBook;
  #id: NodeId | undefined;
  #incarnation = "";
  /** Up to which of its changes the partner's run has told of others. */
  #cursor = 0;
  #hadEngines = false;
  /** The sequence of this node's engines that the partner knows. */
  #knownEngines = 0;
  readonly #told = new Map<number, ToldNode>();

  /**
   * @param self This node.
   * @param peers Takes what the partner tells.
   */
  constructor(self: NodeId, peers: PeerBook) {
    this.#self = self;
    this.#peers = peers;
  }

  /**
   * Writes the next question.
   * @param own What this node says of itself.
   * @param wishes What it wants to hear.
   * @returns The question.
   */
  question(own: NodeDigest, wishes: ExchangeWishes): ExchangeQuestion {
    const isKnown = own.engineStates?.sequence === this.#knownEngines;
    const needsAll = wishes.wantsEngines && !this.#hadEngines;
    return {
      own: isKnown ? { ...own, engineStates: undefined } : own,
      wantsOthers: wishes.wantsOthers,
      wantsEngines: wishes.wantsEngines,
      incarnation: this.#incarnation,
      cursor: needsAll ? 0 : this.#cursor,
      knownEngines: this.#id === undefined
        ? 0
        : this.#peers.enginesKnown(this.#id, this.#incarnation),
    };
  }

  /**
   * Takes an answer.
   * @param now The present time.
   * @param answer The answer.
   * @param wishes What was asked for.
   * @returns Whether a node has come, has begun to stop or has started again.
   */
  answered(
    now: Instant,
    answer: ExchangeAnswer,
    wishes: ExchangeWishes,
  ): boolean {
    const { own } = answer;
    if (own === undefined) return false;
    this.#id = nodeId(own.node);
    if (own.incarnation !== this.#incarnation) this.#restarted();
    this.#incarnation = own.incarnation;
    // What an answer was not asked for it has not told.
    if (wishes.wantsOthers) {
      this.#cursor = answer.cursor;
      this.#hadEngines = wishes.wantsEngines;
    }
    this.#knownEngines = answer.knownEngines;
    const isNews = this.#peers.heard(now, own);
    return this.#hearOthers(now, answer) || isNews;
  }

  /** Nothing that an earlier run has told counts for a later one. */
  #restarted(): void {
    this.#told.clear();
    this.#cursor = 0;
    this.#hadEngines = false;
  }

  #hearOthers(now: Instant, { news, ages }: ExchangeAnswer): boolean {
    let isNews = false;
    for (const { index, digest } of news) {
      if (digest === undefined) continue;
      const id = nodeId(digest.node);
      this.#told.set(index, { id, incarnation: digest.incarnation });
      const age = ageOf(ages[index]);
      if (age === undefined || id === this.#self) continue;
      const terms = { age, isRelayed: true };
      if (this.#peers.heard(now, digest, terms)) isNews = true;
    }
    for (const [index, { id, incarnation }] of this.#told) {
      const age = ageOf(ages[index]);
      if (age === undefined || id === this.#self) continue;
      if (this.#peers.heardOf(now, id, incarnation, age)) isNews = true;
    }
    return isNews;
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
  peers: PeerBook,
  own: NodeDigest,
  question: ExchangeQuestion,
): ExchangeAnswer {
  const { own: asker, wantsOthers, wantsEngines } = question;
  const isSameRun = question.incarnation === own.incarnation;
  const knownEngines = isSameRun ? question.knownEngines : 0;
  const knowsEngines = !wantsEngines ||
    own.engineStates?.sequence === knownEngines;
  const cursor = isSameRun ? question.cursor : 0;
  return {
    own: knowsEngines ? { ...own, engineStates: undefined } : own,
    cursor: peers.cursor,
    news: wantsOthers
      ? [...peers.newsSince(now, { cursor, wantsEngines })]
      : [],
    ages: wantsOthers ? peers.ages(now) : [],
    knownEngines: asker === undefined
      ? 0
      : peers.enginesKnown(nodeId(asker.node), asker.incarnation),
  };
}
