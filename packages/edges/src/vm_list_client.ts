import type {
  Failure,
  FailureDomainId,
  ModelId,
  RegionId,
  ServiceId,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** What a VM is for. */
export type VmRole =
  | { readonly kind: "entry" }
  | {
    readonly kind: "engine";
    readonly model: ModelId;
    /** Whether the engine refuses orders with an old fencing number. */
    readonly checksFencing: boolean;
  }
  | { readonly kind: "service"; readonly service: ServiceId };

/** A VM, as the platform's lagging list tells it. */
export interface Vm {
  readonly id: string;
  /** IP literal and port for HTTP. */
  readonly address: string;
  /** IP literal and port for gRPC between nodes; entry VMs only. */
  readonly peerAddress?: string;
  readonly region: RegionId;
  readonly failureDomain: FailureDomainId;
  readonly role: VmRole;
  readonly state: "live" | "leaving";
}

/** The edge to the platform's list of live and leaving VMs, which lags. */
export abstract class VmListClient {
  /** Reads the whole list. */
  abstract read(): Promise<Result<readonly Vm[], Failure>>;
}
