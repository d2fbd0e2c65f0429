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

/** A node that callers could be sent to. */
export interface AddressCandidate {
  readonly node: NodeId;
  readonly region: RegionId;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
  /** Work in progress, in any unit that all nodes share; absent if unknown. */
  readonly load?: number;
}

/** What a caller says of itself and its work. */
export interface AddressQuery {
  readonly region?: string;
  readonly failureDomain?: string;
  /** The node that controls the engine which will likely do the work. */
  readonly controller?: NodeId;
}

/** The nodes to use, best first, and for how long. */
export interface AddressAnswer {
  readonly nodes: readonly NodeId[];
  readonly lifetime: Duration;
}

/** What an answer is made with. */
export interface AddressChoiceOptions {
  /** The longest lifetime of an answer. */
  readonly longestLifetime: Duration;
  readonly random: RandomSource;
}

interface Weighted {
  readonly candidate: AddressCandidate;
  /** 1 at the mean load; within bounds, so that no answer moves everyone. */
  readonly weight: number;
}

const MOST_NAMED = 4;
const LOWEST_WEIGHT = 0.5;
const HIGHEST_WEIGHT = 1.5;
const UNEVEN_WEIGHT = 0.75;
const UNEVEN_LIFETIME_SHARE = 0.5;
const LIFETIME_SPREAD = 0.1;

/**
 * Chooses the nodes that a caller is to use. Nodes near the caller go first,
 * in random order weighted against their load; a part of the callers of an
 * overloaded node, at most half, is sent elsewhere.
 * @param candidates All nodes known, this one too.
 * @param query What the caller says of itself.
 * @param options The longest lifetime and the generator.
 * @returns The answer; it names no node that is leaving.
 */
export function chooseAddresses(
  candidates: readonly AddressCandidate[],
  query: AddressQuery,
  options: AddressChoiceOptions,
): AddressAnswer {
  const staying = candidates.filter((candidate) => !candidate.leaving);
  const weighted = weigh(staying);
  const ordered = preferController(orderNodes(weighted, query, options), query);
  const nodes = ordered.slice(0, MOST_NAMED).map((one) => one.candidate.node);
  assertInvariant(
    ordered.every((one) => !one.candidate.leaving),
    "leaving_node_is_not_named",
    () => `Named are ${nodes.join(", ")}.`,
  );
  return { nodes, lifetime: lifetimeOf(weighted, options) };
}

function weigh(staying: readonly AddressCandidate[]): readonly Weighted[] {
  const known = staying.flatMap(({ load }) => load === undefined ? [] : [load]);
  const sum = known.reduce((total, load) => total + load, 0);
  const mean = sum / Math.max(1, known.length);
  return staying.map((candidate) => ({
    candidate,
    weight: weightOf(candidate.load ?? mean, mean),
  }));
}

/** One is added to both, so that single requests do not count for much. */
function weightOf(load: number, mean: number): number {
  const ratio = (mean + 1) / (load + 1);
  return Math.min(HIGHEST_WEIGHT, Math.max(LOWEST_WEIGHT, ratio));
}

function orderNodes(
  weighted: readonly Weighted[],
  query: AddressQuery,
  { random }: AddressChoiceOptions,
): readonly Weighted[] {
  const shuffled = weightedShuffle(weighted, random);
  const isNear = ({ candidate }: Weighted): boolean =>
    candidate.failureDomain === query.failureDomain;
  const isRegional = ({ candidate }: Weighted): boolean =>
    query.region === undefined || candidate.region === query.region;
  const near = shuffled.filter(isNear);
  const regional = shuffled.filter((one) => !isNear(one) && isRegional(one));
  const others = shuffled.filter((one) => !isNear(one) && !isRegional(one));
  const first = near[0];
  const isMoved = first !== undefined && regional.length > 0 &&
    uniformFloat64(random) > first.weight;
  return isMoved
    ? [...regional.slice(0, 1), ...near, ...regional.slice(1), ...others]
    : [...near, ...regional, ...others];
}

/** Weighted sampling without replacement (Efraimidis and Spirakis, 2006). */
function weightedShuffle(
  weighted: readonly Weighted[],
  random: RandomSource,
): readonly Weighted[] {
  const keyed = weighted.map((one) => ({
    one,
    key: uniformFloat64(random) ** (1 / one.weight),
  }));
  keyed.sort((left, right) => right.key - left.key);
  return keyed.map(({ one }) => one);
}

function preferController(
  ordered: readonly Weighted[],
  { controller }: AddressQuery,
): readonly Weighted[] {
  const preferred = ordered.find((one) => one.candidate.node === controller);
  if (preferred === undefined) return ordered;
  return [preferred, ...ordered.filter((one) => one !== preferred)];
}

function lifetimeOf(
  weighted: readonly Weighted[],
  { longestLifetime, random }: AddressChoiceOptions,
): Duration {
  const isUneven = weighted.some(({ weight }) => weight < UNEVEN_WEIGHT);
  const share = isUneven ? UNEVEN_LIFETIME_SHARE : 1;
  const spread = 1 - uniformFloat64(random) * LIFETIME_SPREAD;
  return milliseconds(longestLifetime * share * spread);
}
