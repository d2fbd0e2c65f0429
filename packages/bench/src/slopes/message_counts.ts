import {
  distributionPosition,
  failureDomainId,
  heartbeatPeers,
  incarnationId,
  type Member,
  nodeId,
  regionId,
} from "@foxtailwind/core";
import type { Measurement } from "./measurement.ts";

const SIZES = [
  { nodes: 9, domains: 3 },
  { nodes: 48, domains: 4 },
  { nodes: 1_500, domains: 17 },
];

/** Number of nodes and failure domains of a deployment. */
interface DeploymentSize {
  readonly nodes: number;
  readonly domains: number;
}

/**
 * Counts the messages of membership and of configuration distribution, with a
 * flat topology and with one of two levels.
 * @returns The counts for each size.
 */
export function countMessages(): readonly Measurement[] {
  return SIZES.flatMap((size) => [
    countHeartbeats(size),
    countConfiguration(size),
  ]);
}

function countHeartbeats(size: DeploymentSize): Measurement {
  const members = memberList(size);
  const counts = members.map((self) => heartbeatPeers(members, self).length);
  const sum = counts.reduce((total, count) => total + count, 0);
  return {
    subject: "heartbeats sent, each interval",
    size: sizeText(size),
    figures: [
      { name: "flat, a node", value: size.nodes - 1, unit: "" },
      {
        name: "flat, all nodes",
        value: size.nodes * (size.nodes - 1),
        unit: "",
      },
      { name: "two levels, mean node", value: sum / size.nodes, unit: "" },
      { name: "two levels, busiest", value: Math.max(...counts), unit: "" },
      { name: "two levels, all nodes", value: sum, unit: "" },
    ],
  };
}

function countConfiguration(size: DeploymentSize): Measurement {
  const nodes = memberList(size).map(({ node, failureDomain }) => ({
    id: node,
    failureDomain,
  }));
  const places = nodes.map((node) => distributionPosition(node, nodes));
  const children = new Map<string, number>();
  for (const { parent } of places) {
    if (parent === undefined) continue;
    children.set(parent, (children.get(parent) ?? 0) + 1);
  }
  const readers = places.filter((place) => place.readsLog).length;
  const depth = Math.max(...places.map((place) => place.depth));
  return {
    subject: "messages for one record of configuration",
    size: sizeText(size),
    figures: [
      { name: "flat, reads of the log", value: size.nodes, unit: "" },
      { name: "two levels, reads of the log", value: readers, unit: "" },
      {
        name: "two levels, between nodes",
        value: size.nodes - readers,
        unit: "",
      },
      {
        name: "two levels, busiest sends",
        value: Math.max(0, ...children.values()),
        unit: "",
      },
      { name: "two levels, hops after the reader", value: depth, unit: "" },
    ],
  };
}

function memberList({ nodes, domains }: DeploymentSize): readonly Member[] {
  return Array.from({ length: nodes }, (_, index) => ({
    node: nodeId(`node-${index}`),
    incarnation: incarnationId("1"),
    generation: 1,
    region: regionId("region-1"),
    failureDomain: failureDomainId(`domain-${index % domains}`),
    weight: 1,
    address: "10.0.0.1:7000",
  }));
}

function sizeText({ nodes, domains }: DeploymentSize): string {
  return `${nodes} nodes, ${domains} failure domains`;
}
