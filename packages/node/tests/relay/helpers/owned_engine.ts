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
  softwareVersion,
  UnansweredLoads,
} from "@foxtailwind/core";
import { EngineOwner, type UseAnswer } from "@foxtailwind/node/relay";
import { createRelayBase } from "./relay_base.ts";
import { ScriptedEngine } from "./scripted_engine.ts";

/** The model of the owned engine. */
export const MODEL = modelId("m");
/** The owned engine, at its first start. */
export const SERVER: RegisteredServer = {
  id: backendServerId("engine"),
  start: serverStart(1_000),
  service: serviceId("engines"),
  software: softwareVersion("1"),
  address: "127.0.0.1:1",
  failureDomain: failureDomainId("domain-a"),
  leaving: false,
  slots: 64,
  models: [{ model: MODEL, adapters: new Map() }],
  orderCount: 0,
};

/**
 * Sets up an owner of a scripted engine.
 * @param slots The number of adapter slots.
 * @param write Receives the log lines, if a test reads them.
 * @param megabytes The engine's memory; the model and each adapter take one.
 * @returns The owner and its collaborators.
 */
export function setUpOwner(
  slots = 2,
  write?: (line: string) => void,
  megabytes = 10,
) {
  const { base, knowledge } = createRelayBase({ part: "ownership", write });
  const { settings, clock, logger } = base;
  const control = new ScriptedEngine(slots);
  control.adapters.models = [MODEL];
  control.adapters.start = SERVER.start;
  const specification = {
    models: [{ model: MODEL, megabytes: 1, adapterMegabytes: 1 }],
    megabytes,
    adapterSlots: slots,
  };
  const earlierUnansweredLoads = new UnansweredLoads();
  const createOwner = (server: RegisteredServer) =>
    new EngineOwner(server, specification, {
      settings,
      knowledge,
      control,
      clock,
      logger,
      earlierUnansweredLoads,
    });
  const owner = createOwner(SERVER);
  const claim = (owner: string, offset: number, wait = 0) => {
    knowledge.claim({
      engine: SERVER.id,
      owner: nodeId(owner),
      incarnation: "run-1",
      wait: milliseconds(wait),
    }, logOffset(offset));
  };
  return { createOwner, owner, control, claim, knowledge };
}

/**
 * Requests the use of an adapter from an owner.
 * @param owner The owner.
 * @param adapter The adapter.
 * @param timeout The timeout in milliseconds.
 * @param timeLeft The time until the first event is due, in milliseconds.
 * @returns The answer.
 */
export function requestUse(
  owner: EngineOwner,
  adapter: string,
  timeout = 5_000,
  timeLeft = 1_000,
): Promise<UseAnswer> {
  return owner.requestUse({
    model: MODEL,
    adapter: adapterId(adapter),
    minimumVersion: 0,
    prefillTime: milliseconds(5),
    timeLeft: milliseconds(timeLeft),
    needsBreak: true,
  }, AbortSignal.timeout(timeout));
}

/**
 * Releases a use, if it was granted.
 * @param answer The answer.
 */
export function release(answer: UseAnswer): void {
  if (answer.kind === "granted") answer.release();
}
