import { uniformInt } from "pure-rand/distribution/uniformInt";
import type {
  BackendServerId,
  Duration,
  FailureDomainId,
  Instant,
  RandomSource,
} from "../shared/mod.ts";
import type { ServiceServer } from "./service_server.ts";

/** What a server is chosen by. */
export interface ServerChoice {
  readonly servers: readonly ServiceServer[];
  /** The failure domain of this node. */
  readonly failureDomain: FailureDomainId;
  /** Servers that the call has tried, chosen again only without another. */
  readonly tried: ReadonlySet<BackendServerId>;
  /** Assumed of servers that have not answered yet. */
  readonly unknownLatency: Duration;
  readonly random: RandomSource;
}

/** How much dearer the own failure domain may be and still be preferred. */
const LOCALITY_TOLERANCE = 1.25;

/** A way to choose a server for an attempt. */
export abstract class ServerChooser {
  /**
   * Chooses.
   * @param now The present time.
   * @param choice What to choose by.
   * @returns The server, or nothing where none has a place free.
   */
  abstract choose(
    now: Instant,
    choice: ServerChoice,
  ): ServiceServer | undefined;
}

/**
 * Draws two servers of the own failure domain and two of the others, and
 * takes the cheapest, the own domain's where it costs hardly more.
 */
export class PowerOfTwoChooser extends ServerChooser {
  override choose(
    now: Instant,
    choice: ServerChoice,
  ): ServiceServer | undefined {
    const { failureDomain } = choice;
    const candidates = candidatesOf(now, choice);
    const near = candidates.filter((one) =>
      one.failureDomain === failureDomain
    );
    const far = candidates.filter((one) => one.failureDomain !== failureDomain);
    const nearest = cheaperOfTwo(now, near, choice);
    const farthest = cheaperOfTwo(now, far, choice);
    if (nearest === undefined) return farthest;
    if (farthest === undefined) return nearest;
    const nearCost = nearest.cost(now, choice.unknownLatency);
    const farCost = farthest.cost(now, choice.unknownLatency);
    return nearCost > farCost * LOCALITY_TOLERANCE ? farthest : nearest;
  }
}

/** Chooses at random: a baseline of measurements. */
export class RandomChooser extends ServerChooser {
  override choose(
    now: Instant,
    choice: ServerChoice,
  ): ServiceServer | undefined {
    return draw(candidatesOf(now, choice), choice.random);
  }
}

/** Chooses in turn: a baseline of measurements. */
export class RoundRobinChooser extends ServerChooser {
  #turn = 0;

  override choose(
    now: Instant,
    choice: ServerChoice,
  ): ServiceServer | undefined {
    const candidates = candidatesOf(now, choice);
    this.#turn += 1;
    return candidates[this.#turn % Math.max(1, candidates.length)];
  }
}

function candidatesOf(
  now: Instant,
  { servers, tried }: ServerChoice,
): readonly ServiceServer[] {
  const available = servers.filter((server) => server.isAvailable(now));
  const untried = available.filter((server) => !tried.has(server.id));
  return untried.length > 0 ? untried : available;
}

function cheaperOfTwo(
  now: Instant,
  candidates: readonly ServiceServer[],
  choice: ServerChoice,
): ServiceServer | undefined {
  const first = draw(candidates, choice.random);
  if (first === undefined || candidates.length === 1) return first;
  const others = candidates.filter((one) => one !== first);
  const second = draw(others, choice.random) ?? first;
  const firstCost = first.cost(now, choice.unknownLatency);
  const secondCost = second.cost(now, choice.unknownLatency);
  return secondCost < firstCost ? second : first;
}

function draw(
  candidates: readonly ServiceServer[],
  random: RandomSource,
): ServiceServer | undefined {
  if (candidates.length === 0) return undefined;
  return candidates[uniformInt(random, 0, candidates.length - 1)];
}
