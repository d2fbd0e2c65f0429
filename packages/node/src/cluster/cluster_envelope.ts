import {
  type ClusterMessage,
  type DigestEntry,
  engineId,
  failureDomainId,
  incarnationId,
  logOffset,
  type Member,
  milliseconds,
  nodeId,
  type NodeRun,
  regionId,
} from "@foxtailwind/core";
import type {
  ClusterEnvelope,
  DigestEntryMessage,
  MemberMessage,
  NodeRunMessage,
} from "@foxtailwind/protocol";

/**
 * Converts a message to its wire format.
 * @param message The message.
 * @returns The envelope.
 */
export function toEnvelope(message: ClusterMessage): ClusterEnvelope {
  switch (message.kind) {
    case "heartbeat":
      return {
        message: {
          $case: "heartbeat",
          value: {
            from: toMember(message.from),
            leaving: message.leaving,
            view: message.view,
            digest: message.digest.map(toDigestEntry),
          },
        },
      };
    case "ask":
      return {
        message: {
          $case: "ask",
          value: {
            from: toRun(message.from),
            number: message.number,
            durationMilliseconds: message.duration,
            engines: message.engines.map((engine) => ({ ...engine })),
          },
        },
      };
    case "promise":
      return {
        message: {
          $case: "promise",
          value: {
            from: toRun(message.from),
            to: toRun(message.to),
            number: message.number,
            engines: [...message.engines],
          },
        },
      };
  }
}

/**
 * Parses a message from its wire format.
 * @param envelope The envelope.
 * @returns The message, or `undefined` if a newer node sent an unknown kind.
 */
export function fromEnvelope(
  envelope: ClusterEnvelope,
): ClusterMessage | undefined {
  const { message } = envelope;
  switch (message?.$case) {
    case "heartbeat": {
      const { from, leaving, view, digest } = message.value;
      return {
        kind: "heartbeat",
        from: fromMember(from),
        leaving,
        view: logOffset(view),
        digest: digest.map(fromDigestEntry),
      };
    }
    case "ask": {
      const { from, number, durationMilliseconds, engines } = message.value;
      return {
        kind: "ask",
        from: fromRun(from),
        number,
        duration: milliseconds(durationMilliseconds),
        engines: engines.map(({ engine, tenure }) => ({
          engine: engineId(engine),
          tenure: logOffset(tenure),
        })),
      };
    }
    case "promise": {
      const { from, to, number, engines } = message.value;
      return {
        kind: "promise",
        from: fromRun(from),
        to: fromRun(to),
        number,
        engines: engines.map(engineId),
      };
    }
    case undefined:
      return undefined;
  }
}

function toRun({ node, incarnation }: NodeRun): NodeRunMessage {
  return { node, incarnation };
}

function fromRun(message: NodeRunMessage | undefined): NodeRun {
  return {
    node: nodeId(message?.node ?? ""),
    incarnation: incarnationId(message?.incarnation ?? ""),
  };
}

function toMember(member: Member): MemberMessage {
  const { generation, region, failureDomain, weight, address } = member;
  const run = toRun(member);
  return { run, generation, region, failureDomain, weight, address };
}

function fromMember(message: MemberMessage | undefined): Member {
  return {
    ...fromRun(message?.run),
    generation: message?.generation ?? 0,
    region: regionId(message?.region ?? ""),
    failureDomain: failureDomainId(message?.failureDomain ?? ""),
    weight: message?.weight ?? 1,
    address: message?.address ?? "",
  };
}

function toDigestEntry(entry: DigestEntry): DigestEntryMessage {
  return {
    run: toRun(entry),
    state: entry.state,
    ageMilliseconds: entry.age,
    member: entry.member === undefined ? undefined : toMember(entry.member),
  };
}

function fromDigestEntry(message: DigestEntryMessage): DigestEntry {
  return {
    ...fromRun(message.run),
    state: message.state as DigestEntry["state"],
    age: message.ageMilliseconds,
    ...(message.member === undefined
      ? {}
      : { member: fromMember(message.member) }),
  };
}
