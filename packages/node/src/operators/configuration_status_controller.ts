import type { StatusAnswer } from "@foxtailwind/protocol";
import { Controller, Get, Inject } from "@nestjs/common";
import type { NodeStatus } from "../configuration/cluster_status.ts";
import { DaemonParts } from "../daemon_parts.ts";

interface NodeRow {
  readonly node: string;
  readonly state: "in_force" | "behind" | "halted" | "unreachable";
  readonly offset?: number;
  readonly behind?: number;
  readonly source?: string;
  readonly corrupt_records?: number;
  readonly note?: string;
}

/** Reports which configuration is in force on each node. */
@Controller("v1/operators/configuration/status")
export class ConfigurationStatusController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Queries all nodes in the VM list. */
  @Get()
  async status() {
    const { directory, settings, follower, peerStatuses } = this.#parts;
    const others = directory.vms.filter((vm) =>
      vm.role.kind === "entry" && vm.id !== settings.node.id
    );
    const answers: readonly NodeStatus[] = [
      { kind: "answered", status: follower.status() },
      ...await peerStatuses(others),
    ];
    const latest = Math.max(...answers.map(offsetOf));
    const nodes = answers.map((answer) => toNodeRow(answer, latest));
    nodes.sort((left, right) => left.node < right.node ? -1 : 1);
    return { offset: latest, nodes };
  }
}

function offsetOf(answer: NodeStatus): number {
  return answer.kind === "answered" ? answer.status.offset : -1;
}

function toNodeRow(answer: NodeStatus, latest: number): NodeRow {
  if (answer.kind === "unreachable") {
    return { node: answer.node, state: "unreachable" };
  }
  const { status } = answer;
  const behind = latest - status.offset;
  const note = noteOf(status);
  return {
    node: status.node,
    state: stateOf(status, behind),
    offset: status.offset,
    behind,
    source: status.source,
    corrupt_records: status.corruptRecords,
    ...(note !== "" && { note }),
  };
}

function stateOf(status: StatusAnswer, behind: number): NodeRow["state"] {
  if (status.halted !== "") return "halted";
  return behind > 0 ? "behind" : "in_force";
}

function noteOf(status: StatusAnswer): string {
  if (status.halted !== "") return status.halted;
  if (status.mismatchedSnapshots === 0) return "";
  return `${status.mismatchedSnapshots} snapshots differ from the log`;
}
