import {
  assertInvariant,
  type DeliveryRules,
  epochPrefix,
  type ExecutionKey,
  type Failure,
  type KeyAction,
  type KeyedCall,
  nodeId,
  parseExecutionKey,
  type RunResult,
  scopePrefix,
} from "@foxtailwind/core";
import { err, ok } from "neverthrow";
import { answerOf, checkCall, type KeyWorldCall } from "./key_world_call.ts";
import { KeyWorldLog } from "./key_world_log.ts";
import {
  KEY_WINDOW,
  KeyWorldNode,
  type KeyWorldSurroundings,
} from "./key_world_node.ts";
import type { OutcomeTimeline } from "./outcome_timeline.ts";

const LONGEST_FLIGHT = 15;
const LOG_RETENTION = KEY_WINDOW * 2;
const LATEST_PLAIN_RETRY = KEY_WINDOW / 2;
const LATEST_RETRY = KEY_WINDOW * 3;

interface Taken {
  readonly call: KeyWorldCall;
  readonly keyed: KeyedCall;
  readonly reply: (result: RunResult) => void;
}

/** Nodes, a log and a service, and callers who retry through other nodes. */
export class KeyWorld {
  readonly #timeline: OutcomeTimeline;
  readonly #log: KeyWorldLog;
  readonly #surroundings: KeyWorldSurroundings;
  readonly #nodes: KeyWorldNode[];
  readonly #calls: KeyWorldCall[] = [];
  readonly #runs = new Map<string, KeyWorldCall[]>();
  readonly #taken = new Map<KeyWorldNode, Map<number, Taken>>();
  #incarnations = 0;
  #tickets = 0;

  /**
   * @param timeline The virtual time.
   * @param rules The rules of delivery.
   * @param nodes How many nodes there are.
   */
  constructor(
    timeline: OutcomeTimeline,
    rules: DeliveryRules,
    nodes: number,
  ) {
    this.#timeline = timeline;
    this.#log = new KeyWorldLog(timeline, LOG_RETENTION);
    this.#surroundings = {
      timeline,
      log: this.#log,
      rules,
      run: (node, ticket) => {
        this.#run(node, ticket);
      },
      forward: (node, action) => {
        this.#forward(node, action);
      },
      answer: (node, ticket, result) => {
        this.#answer(node, ticket, result);
      },
    };
    this.#nodes = Array.from(
      { length: nodes },
      (_, index) => this.#startNode(`node-${index}`),
    );
  }

  /** How often any key ran. */
  get runs(): number {
    let runs = 0;
    for (const calls of this.#runs.values()) runs += calls.length;
    return runs;
  }

  /** Lets a caller send a request with a new key, and retry it now and then. */
  sendRequest(): void {
    const { random } = this.#timeline;
    const kind = this.#timeline.pick(["bound", "epoch", "plain"] as const);
    const key = this.#newKey(kind);
    const retries = Math.floor(random.next() * 4);
    const latest = kind === "plain" ? LATEST_PLAIN_RETRY : LATEST_RETRY;
    this.#send(key, `body-${this.#calls.length}`);
    const body = this.#calls.at(-1)?.body ?? "";
    for (let retry = 0; retry < retries; retry += 1) {
      const other = random.happens(0.05) ? "other-body" : body;
      const longest = random.happens(0.5) ? LONGEST_FLIGHT * 4 : latest;
      this.#timeline.soon(longest, () => {
        this.#send(key, other);
      });
    }
  }

  /** Kills a node and starts its next incarnation. */
  restartNode(): void {
    const index = Math.floor(this.#timeline.random.next() * this.#nodes.length);
    const killed = this.#nodes[index];
    if (killed === undefined) return;
    killed.isAlive = false;
    for (const { call } of this.#taken.get(killed)?.values() ?? []) {
      call.cut = true;
    }
    this.#taken.delete(killed);
    this.#nodes[index] = this.#startNode(killed.id);
  }

  /**
   * Starts, or ends, an outage of the log.
   * @param isDown Whether the log is down.
   */
  setOutage(isDown: boolean): void {
    this.#log.isDown = isDown;
  }

  /** Checks what callers were told against what the service did. */
  check(): void {
    for (const [key, runs] of this.#runs) {
      assertInvariant(
        runs.length <= 1,
        "at_most_once",
        () => `Key ${key} ran ${runs.length} times.`,
      );
    }
    for (const call of this.#calls) {
      checkCall(call, this.#runs.get(call.key.key) ?? []);
    }
  }

  /** Checks that every call that was not cut off has its only answer. */
  checkEnds(): void {
    for (const { answers, cut, key } of this.#calls) {
      assertInvariant(
        answers.length === 1 || (cut && answers.length === 0),
        "one_final_answer",
        () => `A call of key ${key.key} has ${answers.length} answers.`,
      );
    }
  }

  #newKey(kind: "bound" | "epoch" | "plain"): ExecutionKey {
    const own = `key-${this.#calls.length}`;
    const node = this.#timeline.pick(this.#nodes);
    const prefixes = {
      bound: scopePrefix(node.scope),
      epoch: epochPrefix(node.epoch),
      plain: "",
    };
    return parseExecutionKey(prefixes[kind] + own)._unsafeUnwrap();
  }

  #send(key: ExecutionKey, body: string): void {
    const call: KeyWorldCall = {
      key,
      body,
      sentAt: this.#timeline.now,
      answers: [],
      cut: false,
    };
    this.#calls.push(call);
    const node = this.#timeline.pick(this.#nodes);
    this.#take(node, call, (result) => call.answers.push(result));
  }

  #take(
    node: KeyWorldNode,
    call: KeyWorldCall,
    reply: (result: RunResult) => void,
    forPeer?: KeyedCall["forPeer"],
  ): void {
    this.#tickets += 1;
    const ticket = this.#tickets;
    const keyed: KeyedCall = {
      ticket,
      key: call.key,
      digest: call.body,
      ...(forPeer !== undefined && { forPeer }),
    };
    this.#taken.get(node)?.set(ticket, { call, keyed, reply });
    node.request(keyed);
  }

  #run(node: KeyWorldNode, ticket: number): void {
    const taken = this.#taken.get(node)?.get(ticket);
    if (taken === undefined) return;
    const { random } = this.#timeline;
    const { call, keyed } = taken;
    const refused = random.happens(0.1);
    this.#timeline.soon(LONGEST_FLIGHT, () => {
      if (!refused) this.#countRun(call);
      const result = this.#resultOf(call, refused);
      this.#timeline.soon(LONGEST_FLIGHT * 2, () => {
        node.runEnded(keyed, result);
      });
    });
  }

  #countRun(call: KeyWorldCall): void {
    const runs = this.#runs.get(call.key.key) ?? [];
    runs.push(call);
    this.#runs.set(call.key.key, runs);
  }

  #resultOf(call: KeyWorldCall, refused: boolean): RunResult {
    if (refused) return err(failureOf("not_run"));
    if (this.#timeline.random.happens(0.15)) return err(failureOf("unknown"));
    return ok(Buffer.from(answerOf(call)));
  }

  #forward(
    node: KeyWorldNode,
    action: Extract<KeyAction, { readonly kind: "forward" }>,
  ): void {
    const { ticket, incarnation, nonce } = action;
    const taken = this.#taken.get(node)?.get(ticket);
    if (taken === undefined) return;
    this.#timeline.soon(LONGEST_FLIGHT, () => {
      const owner = this.#nodes.find((one) => one.id === action.node);
      const lost = this.#timeline.random.happens(0.1);
      if (owner === undefined || lost) {
        node.forwardEnded(ticket, err(failureOf("unknown")));
        return;
      }
      const reply = (result: RunResult): void => {
        this.#timeline.soon(LONGEST_FLIGHT, () => {
          node.forwardEnded(ticket, result);
        });
      };
      this.#take(owner, taken.call, reply, { incarnation, nonce });
      this.#watchOwner(owner, node, ticket);
    });
  }

  /** A peer that dies breaks the connection: its outcome is unknown. */
  #watchOwner(
    owner: KeyWorldNode,
    node: KeyWorldNode,
    ticket: number,
  ): void {
    this.#timeline.after(LONGEST_FLIGHT * 4, () => {
      const waits = this.#taken.get(node)?.has(ticket) === true;
      if (!waits) return;
      if (owner.isAlive) this.#watchOwner(owner, node, ticket);
      else node.forwardEnded(ticket, err(failureOf("unknown")));
    });
  }

  #answer(node: KeyWorldNode, ticket: number, result: RunResult): void {
    const taken = this.#taken.get(node);
    const request = taken?.get(ticket);
    taken?.delete(ticket);
    request?.reply(result);
  }

  #startNode(id: string): KeyWorldNode {
    this.#incarnations += 1;
    const node = new KeyWorldNode(
      nodeId(id),
      this.#incarnations,
      this.#surroundings,
    );
    this.#taken.set(node, new Map());
    return node;
  }
}

function failureOf(outcome: Failure["outcome"]): Failure {
  return {
    reason: "unavailable",
    step: "call_service",
    peer: "service",
    message: "A fault of the run.",
    outcome,
  };
}
