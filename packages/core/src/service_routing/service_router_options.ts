import type {
  FailureDomainId,
  RandomSource,
  ServiceId,
} from "../shared/mod.ts";
import type { ServicePolicy } from "./service_policy.ts";

/** Options of a service router. */
export interface ServiceRouterOptions {
  readonly service: ServiceId;
  /** The failure domain of this node. */
  readonly failureDomain: FailureDomainId;
  readonly random: RandomSource;
  readonly policy: ServicePolicy;
}
