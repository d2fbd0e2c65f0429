import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import {
  assertInvariant,
  type Duration,
  type FailureDomainId,
  milliseconds,
  type NodeId,
  type RandomSource,
  type RegionId,
} from "../shared/mod.ts";

/** A node that may be returned to callers. */
export interface AddressCandidate {
  readonly node: NodeId;
  readonly region: RegionId;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
  /** Work in progress, in a unit common to all nodes; absent if unknown. */
  readonly load?: number;
}

/** What a caller states about itself and its work. */
export interface AddressQuery {
  readonly region?: string;
  readonly failureDomain?: string;
  /** The node that controls the engine likely to serve the request. */
  readonly controller?: NodeId;
}

/** The nodes to use, best first, and how long the list is valid. */
export interface AddressAnswer {
  readonly nodes: readonly NodeId[];
  readonly lifetime: Duration;
}

/** The inputs of an address choice besides the nodes and the query. */
export interface AddressChoiceOptions {
  /** The maximum lifetime of an answer. */
  readonly maximumLifetime: Duration;
  readonly random: RandomSource;
}

interface WeightedCandidate {
  readonly candidate: AddressCandidate;
  /** 1 at the mean load; bounded, so that no answer diverts all callers. */
  readonly weight: number;
}

const MAXIMUM_NODES = 4;
const MINIMUM_WEIGHT = 0.5;
const MAXIMUM_WEIGHT = 1.5;
const UNEVEN_LOAD_WEIGHT = 0.75;
const UNEVEN_LOAD_LIFETIME_FACTOR = 0.5;
const LIFETIME_JITTER = 0.1;

/**
 * Chooses the nodes that a caller should use. Nodes near the caller come
 * first, in random order weighted inversely by load. At most half of the
 * callers of an overloaded node are sent elsewhere.
 * @param candidates All known nodes, including this one.
 * @param query What the caller states about itself.
 * @param options The maximum lifetime and the random number generator.
 * @returns The answer, which contains no node that is leaving.
 */
export function chooseAddresses(
  candidates: readonly AddressCandidate[],
  query: AddressQuery,
  options: AddressChoiceOptions,
): AddressAnswer {
  const available = candidates.filter((candidate) => !candidate.leaving);
  const weighted = assignWeights(available);
  const ordered = preferController(orderNodes(weighted, query, options), query);
  const nodes = ordered.slice(0, MAXIMUM_NODES).map((entry) =>
    entry.candidate.node
  );
  assertInvariant(
    ordered.every((entry) => !entry.candidate.leaving),
    "leaving_node_is_not_named",
    () => `The answer contains ${nodes.join(", ")}.`,
  );
  return { nodes, lifetime: answerLifetime(weighted, options) };
}

function assignWeights(
  available: readonly AddressCandidate[],
): readonly WeightedCandidate[] {
  const knownLoads = available.flatMap(({ load }) =>
    load === undefined ? [] : [load]
  );
  const sum = knownLoads.reduce((total, load) => total + load, 0);
  const mean = sum / Math.max(1, knownLoads.length);
  return available.map((candidate) => ({
    candidate,
    weight: weightOf(candidate.load ?? mean, mean),
  }));
}

/** Adds one to both loads, so that at low load single requests count little. */
function weightOf(load: number, mean: number): number {
  const ratio = (mean + 1) / (load + 1);
  return Math.min(MAXIMUM_WEIGHT, Math.max(MINIMUM_WEIGHT, ratio));
}

function orderNodes(
  weighted: readonly WeightedCandidate[],
  query: AddressQuery,
  { random }: AddressChoiceOptions,
): readonly WeightedCandidate[] {
  const shuffled = weightedShuffle(weighted, random);
  const isInDomain = ({ candidate }: WeightedCandidate): boolean =>
    candidate.failureDomain === query.failureDomain;
  const isInRegion = ({ candidate }: WeightedCandidate): boolean =>
    query.region === undefined || candidate.region === query.region;
  const inDomain = shuffled.filter(isInDomain);
  const inRegion = shuffled.filter((entry) =>
    !isInDomain(entry) && isInRegion(entry)
  );
  const others = shuffled.filter((entry) =>
    !isInDomain(entry) && !isInRegion(entry)
  );
  const first = inDomain[0];
  const isDiverted = first !== undefined && inRegion.length > 0 &&
    uniformFloat64(random) > first.weight;
  return isDiverted
    ? [...inRegion.slice(0, 1), ...inDomain, ...inRegion.slice(1), ...others]
    : [...inDomain, ...inRegion, ...others];
}

/** Weighted sampling without replacement (Efraimidis and Spirakis, 2006). */
function weightedShuffle(
  weighted: readonly WeightedCandidate[],
  random: RandomSource,
): readonly WeightedCandidate[] {
  const withKeys = weighted.map((entry) => ({
    entry,
    key: uniformFloat64(random) ** (1 / entry.weight),
  }));
  withKeys.sort((left, right) => right.key - left.key);
  return withKeys.map(({ entry }) => entry);
}

function preferController(
  ordered: readonly WeightedCandidate[],
  { controller }: AddressQuery,
): readonly WeightedCandidate[] {
  const preferred = ordered.find((entry) =>
    entry.candidate.node === controller
  );
  if (preferred === undefined) return ordered;
  return [preferred, ...ordered.filter((entry) => entry !== preferred)];
}

function answerLifetime(
  weighted: readonly WeightedCandidate[],
  { maximumLifetime: longestLifetime, random }: AddressChoiceOptions,
): Duration {
  const isLoadUneven = weighted.some(({ weight }) =>
    weight < UNEVEN_LOAD_WEIGHT
  );
  const factor = isLoadUneven ? UNEVEN_LOAD_LIFETIME_FACTOR : 1;
  const jitter = 1 - uniformFloat64(random) * LIFETIME_JITTER;
  return milliseconds(longestLifetime * factor * jitter);
}
