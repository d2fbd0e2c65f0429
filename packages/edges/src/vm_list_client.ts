import type {
  Failure,
  FailureDomainId,
  ModelId,
  RegionId,
  ServiceId,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** What a VM runs: an entry node, an engine or a server of a service. */
export type VmRole =
  | { readonly kind: "entry" }
  | {
    readonly kind: "engine";
    readonly model: ModelId;
    /** Whether the engine refuses orders with an old fencing number. */
    readonly checksFencing: boolean;
  }
  | { readonly kind: "service"; readonly service: ServiceId };

/** A VM in the platform's list, which lags. */
export interface Vm {
  readonly id: string;
  /** The IP literal and port for HTTP. */
  readonly address: string;
  /** The IP literal and port for gRPC between nodes, on entry VMs only. */
  readonly peerAddress?: string;
  readonly region: RegionId;
  readonly failureDomain: FailureDomainId;
  readonly role: VmRole;
  readonly state: "live" | "leaving";
}

/** Client for the platform's list of live and leaving VMs, which lags. */
export abstract class VmListClient {
  /**
   * Reads the whole list.
   * @returns The VMs, or a failure.
   */
  abstract read(): Promise<Result<readonly Vm[], Failure>>;
}
