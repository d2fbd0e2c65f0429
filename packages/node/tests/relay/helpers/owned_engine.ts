import {
  adapterId,
  backendServerId,
  failureDomainId,
  logOffset,
  milliseconds,
  modelId,
  nodeId,
  type RegisteredServer,
  serverStart,
  serviceId,
  UnansweredLoads,
} from "@foxtailwind/core";
import { EngineOwner, type UseAnswer } from "@foxtailwind/node/relay";
import { relayBase } from "./relay_base.ts";
import { ScriptedEngine } from "./scripted_engine.ts";

/** The model of the owned engine. */
export const MODEL = modelId("m");
/** The engine that is owned, at its first start. */
export const SERVER: RegisteredServer = {
  id: backendServerId("engine"),
  start: serverStart(1_000),
  service: serviceId("engines"),
  address: "127.0.0.1:1",
  failureDomain: failureDomainId("domain-a"),
  leaving: false,
  slots: 64,
  models: [{ model: MODEL, adapters: new Map() }],
  orderCount: 0,
};

/**
 * Sets up an owner of an engine that answers as a test says.
 * @param slots How many adapters fit.
 * @param write Takes the lines of the log, where a test reads them.
 * @returns The owner and what it works with.
 */
export function setUpOwner(slots = 2, write?: (line: string) => void) {
  const { base, knowledge } = relayBase({ part: "ownership", write });
  const { settings, clock, logger } = base;
  const control = new ScriptedEngine(slots);
  control.adapters.models = [MODEL];
  control.adapters.start = SERVER.start;
  const terms = {
    models: [{ model: MODEL, megabytes: 1, adapterMegabytes: 1 }],
    megabytes: 10,
    adapterSlots: slots,
  };
  const lateOrders = new UnansweredLoads();
  const own = (server: RegisteredServer) =>
    new EngineOwner(server, terms, {
      settings,
      knowledge,
      control,
      clock,
      logger,
      lateOrders,
    });
  const owner = own(SERVER);
  const claim = (owner: string, offset: number, wait = 0) => {
    knowledge.claim({
      engine: SERVER.id,
      owner: nodeId(owner),
      incarnation: "run-1",
      wait: milliseconds(wait),
    }, logOffset(offset));
  };
  return { own, owner, control, claim, knowledge };
}

/**
 * Asks an owner for the use of an adapter.
 * @param owner The owner.
 * @param adapter The adapter.
 * @param patience How long it is waited for, in milliseconds.
 * @returns The answer.
 */
export function use(
  owner: EngineOwner,
  adapter: string,
  patience = 5_000,
): Promise<UseAnswer> {
  return owner.use({
    model: MODEL,
    adapter: adapterId(adapter),
    minimumVersion: 0,
    reading: milliseconds(5),
    timeLeft: milliseconds(1_000),
    needsBreak: true,
  }, AbortSignal.timeout(patience));
}

/**
 * Ends a use, where it was granted.
 * @param answer The answer.
 */
export function release(answer: UseAnswer): void {
  if (answer.kind === "granted") answer.release();
}
