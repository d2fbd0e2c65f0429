import {
  type FailureDomainId,
  failureDomainId,
  incarnationId,
  type Member,
  nodeId,
  regionId,
} from "@foxtailwind/core";
import type { Scenario } from "./scenario.ts";

/**
 * Describes the nodes of a scenario, each in its first run.
 * @param scenario The scenario.
 * @returns The nodes, spread over its failure domains.
 */
export function membersOf(scenario: Scenario): readonly Member[] {
  return Array.from({ length: scenario.nodes }, (_, index): Member => ({
    node: nodeId(`node-${String(index)}`),
    incarnation: incarnationId("run-1"),
    generation: 0,
    region: regionId("region-1"),
    failureDomain: domain(index % scenario.domains),
    weight: 1 + index % 2,
    address: `node-${String(index)}`,
  }));
}

/**
 * Names a failure domain.
 * @param index Its place, from 0.
 * @returns The domain.
 */
export function domain(index: number): FailureDomainId {
  return failureDomainId(`domain-${String(index)}`);
}
