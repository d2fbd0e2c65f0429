import { type Instant, type NodeId, nodeId } from "@foxtailwind/core";
import type {
  ExchangeAnswer,
  ExchangeQuestion,
  NodeDigest,
} from "@foxtailwind/protocol";
import type { PeerTable } from "./peer_table.ts";
import { decodeAge } from "./encoded_age.ts";

/** What a node requests from an exchange partner. */
export interface ExchangeScope {
  readonly wantsOthers: boolean;
  readonly wantsEngines: boolean;
}

interface ReportedNode {
  readonly id: NodeId;
  readonly incarnation: string;
}

/**
 * The exchange state shared with one partner. It limits each exchange to what
 * has changed since the last one, and to the age of each node's last digest.
 */
export class ExchangePartner {
  readonly #self: NodeId;
  readonly #peers: PeerTable;
  #id: NodeId | undefined;
  #incarnation = "";
  /** The partner's change count up to which it has reported other nodes. */
  #cursor = 0;
  #receivedEngines = false;
  /** The sequence of this node's engine states that the partner has. */
  #acknowledgedEngines = 0;
  /** The partner's count of registry changes up to which this node has them. */
  #registryCursor = 0;
  readonly #reportedNodes = new Map<number, ReportedNode>();

  /**
   * @param self The id of this node.
   * @param peers Updated from the partner's answers.
   */
  constructor(self: NodeId, peers: PeerTable) {
    this.#self = self;
    this.#peers = peers;
  }

  /**
   * Creates the next question to the partner.
   * @param own The digest of this node.
   * @param scope What this node requests.
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
      registryCursor: this.#registryCursor,
      registryAgeMilliseconds: undefined,
    };
  }

  /**
   * Applies the partner's answer.
   * @param now The present time.
   * @param answer The answer.
   * @param scope What was requested.
   * @returns Whether a node has joined, begun to stop or restarted.
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
    // The answer omits what was not requested, so the cursor stays then.
    if (scope.wantsOthers) {
      this.#cursor = answer.cursor;
      this.#receivedEngines = scope.wantsEngines;
    }
    this.#acknowledgedEngines = answer.knownEngines;
    this.#registryCursor = answer.registryCursor;
    const isStatusChange = this.#peers.applyDigest(now, own);
    return this.#applyRelayedNews(now, answer) || isStatusChange;
  }

  /** Discards what an earlier run of the partner has reported. */
  #resetProgress(): void {
    this.#reportedNodes.clear();
    this.#cursor = 0;
    this.#registryCursor = 0;
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
      if (this.#peers.applyDigest(now, digest, origin)) isStatusChange = true;
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

/** What an answer says of other nodes and of engines. */
export type DigestAnswer = Omit<
  ExchangeAnswer,
  "registry" | "registryCursor"
>;

/**
 * Answers a partner's question with what the partner does not have yet.
 * @param now The present time.
 * @param peers The peers known to this node.
 * @param own The digest of this node.
 * @param question The question; its digest has already been applied.
 * @returns The answer.
 */
export function answerExchange(
  now: Instant,
  peers: PeerTable,
  own: NodeDigest,
  question: ExchangeQuestion,
): DigestAnswer {
  const { own: askerDigest, wantsOthers, wantsEngines } = question;
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
    knownEngines: askerDigest === undefined ? 0 : peers.knownEngineSequence(
      nodeId(askerDigest.node),
      askerDigest.incarnation,
    ),
  };
}
