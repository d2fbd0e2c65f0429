import { uniformInt } from "pure-rand/distribution/uniformInt";
import type {
  BackendServerId,
  Duration,
  FailureDomainId,
  Instant,
  RandomSource,
} from "../shared/mod.ts";
import type { ServiceServer } from "./service_server.ts";

/** The input of a server choice. */
export interface ServerChoiceContext {
  readonly servers: readonly ServiceServer[];
  /** The failure domain of this node. */
  readonly failureDomain: FailureDomainId;
  /** Servers already tried, chosen again only if no other is available. */
  readonly tried: ReadonlySet<BackendServerId>;
  /** The latency assumed for servers that have not answered yet. */
  readonly unknownLatency: Duration;
  readonly random: RandomSource;
}

/** Cost ratio up to which a server in the local failure domain is preferred. */
const LOCALITY_TOLERANCE = 1.25;

/** A strategy to choose a server for an attempt. */
export abstract class ServerChooser {
  /**
   * Chooses a server.
   * @param now The present time.
   * @param choice The servers and the criteria.
   * @returns The server, or undefined if none has capacity.
   */
  abstract choose(
    now: Instant,
    choice: ServerChoiceContext,
  ): ServiceServer | undefined;
}

/**
 * Power of two choices: picks the cheaper of two random servers in the local
 * failure domain, and of two in the others. Prefers the local one unless its
 * cost is clearly higher.
 */
export class PowerOfTwoChooser extends ServerChooser {
  override choose(
    now: Instant,
    choice: ServerChoiceContext,
  ): ServiceServer | undefined {
    const { failureDomain } = choice;
    const candidates = availableServers(now, choice);
    const local = candidates.filter((one) =>
      one.failureDomain === failureDomain
    );
    const remote = candidates.filter((one) =>
      one.failureDomain !== failureDomain
    );
    const localServer = cheaperOfTwo(now, local, choice);
    const remoteServer = cheaperOfTwo(now, remote, choice);
    if (localServer === undefined) return remoteServer;
    if (remoteServer === undefined) return localServer;
    const localCost = localServer.cost(now, choice.unknownLatency);
    const remoteCost = remoteServer.cost(now, choice.unknownLatency);
    return localCost > remoteCost * LOCALITY_TOLERANCE
      ? remoteServer
      : localServer;
  }
}

/** Chooses at random. Serves as a baseline in benchmarks. */
export class RandomChooser extends ServerChooser {
  override choose(
    now: Instant,
    choice: ServerChoiceContext,
  ): ServiceServer | undefined {
    return pickRandom(availableServers(now, choice), choice.random);
  }
}

/** Chooses in turn. Serves as a baseline in benchmarks. */
export class RoundRobinChooser extends ServerChooser {
  #choiceCount = 0;

  override choose(
    now: Instant,
    choice: ServerChoiceContext,
  ): ServiceServer | undefined {
    const candidates = availableServers(now, choice);
    this.#choiceCount += 1;
    return candidates[this.#choiceCount % Math.max(1, candidates.length)];
  }
}

function availableServers(
  now: Instant,
  { servers, tried }: ServerChoiceContext,
): readonly ServiceServer[] {
  const available = servers.filter((server) => server.isAvailable(now));
  const untried = available.filter((server) => !tried.has(server.id));
  return untried.length > 0 ? untried : available;
}

function cheaperOfTwo(
  now: Instant,
  candidates: readonly ServiceServer[],
  choice: ServerChoiceContext,
): ServiceServer | undefined {
  const first = pickRandom(candidates, choice.random);
  if (first === undefined || candidates.length === 1) return first;
  const others = candidates.filter((one) => one !== first);
  const second = pickRandom(others, choice.random) ?? first;
  const firstCost = first.cost(now, choice.unknownLatency);
  const secondCost = second.cost(now, choice.unknownLatency);
  return secondCost < firstCost ? second : first;
}

function pickRandom(
  candidates: readonly ServiceServer[],
  random: RandomSource,
): ServiceServer | undefined {
  if (candidates.length === 0) return undefined;
  return candidates[uniformInt(random, 0, candidates.length - 1)];
}
