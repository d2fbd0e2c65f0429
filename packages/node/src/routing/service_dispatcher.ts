import {
  backendServerId,
  type Configuration,
  type Failure,
  type FailureDomainId,
  randomSource,
  type RequestId,
  requestId,
  SERVICE_POLICY,
  type ServiceId,
  serviceId,
} from "@foxtailwind/core";
import type { ServiceClient, ServiceResponse } from "@foxtailwind/edges";
import { err, type Result } from "neverthrow";
import { randomInt, randomUUID } from "node:crypto";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { ServiceCallRunner, type ServiceRequest } from "../delivery/mod.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { VmDirectory } from "../platform/vm_directory.ts";
import {
  type AddressedServer,
  ServiceChannel,
  type ServiceResult,
} from "./service_channel.ts";

/** The dependencies of a {@link ServiceDispatcher}. */
export interface ServiceDispatcherParts {
  readonly failureDomain: FailureDomainId;
  readonly client: ServiceClient;
  readonly directory: VmDirectory;
  readonly configuration: Configuration;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

/** Options of a service call. */
export interface ServiceCallOptions {
  readonly id: RequestId;
  readonly repeatable: boolean;
  /** Cancels the call, for example if its caller has disconnected. */
  readonly signal?: AbortSignal;
}

const SEED_LIMIT = 2 ** 31;

/** Dispatches calls to plain services, over one channel per service. */
export class ServiceDispatcher extends ServiceCallRunner {
  readonly #parts: ServiceDispatcherParts;
  readonly #channels = new Map<ServiceId, ServiceChannel>();

  /** @param parts The dependencies. */
  constructor(parts: ServiceDispatcherParts) {
    super();
    this.#parts = parts;
    parts.directory.onChange(() => {
      this.#updateServers();
    });
  }

  override async runOnce(
    request: ServiceRequest,
  ): Promise<Result<ServiceResponse, Failure>> {
    const id = requestId(randomUUID());
    return await this.call(request, { id, repeatable: false });
  }

  /**
   * Makes a call.
   * @param request The call.
   * @param options Whether it is repeatable, and how to cancel it.
   * @returns The answer, or a failure that states whether the call ran.
   */
  async call(
    request: ServiceRequest,
    options: ServiceCallOptions,
  ): Promise<ServiceResult> {
    const service = serviceId(request.service);
    const { services } = this.#parts.configuration;
    const channel = this.#channels.get(service);
    if (channel === undefined) {
      return err(noServerFailure(service, services.has(service)));
    }
    channel.setTarget(services.get(service));
    const { id, repeatable, signal } = options;
    const onAbort = (): void => {
      channel.cancel(id);
    };
    signal?.addEventListener("abort", onAbort, { once: true });
    const result = await channel.call({ id, repeatable }, request);
    signal?.removeEventListener("abort", onAbort);
    return result;
  }

  #updateServers(): void {
    const byService = new Map<ServiceId, AddressedServer[]>();
    for (const vm of this.#parts.directory.vms) {
      if (vm.role.kind !== "service") continue;
      const servers = byService.get(vm.role.service) ?? [];
      byService.set(vm.role.service, servers);
      servers.push({
        server: backendServerId(vm.id),
        failureDomain: vm.failureDomain,
        leaving: vm.state === "leaving",
        address: vm.address,
      });
    }
    this.#removeUnlisted(byService);
    for (const [service, servers] of byService) {
      this.#getOrCreateChannel(service).updateServers(servers);
    }
  }

  #removeUnlisted(listed: ReadonlyMap<ServiceId, unknown>): void {
    for (const [service, channel] of this.#channels) {
      if (listed.has(service)) continue;
      if (channel.isIdle) this.#channels.delete(service);
      else channel.updateServers([]);
    }
  }

  #getOrCreateChannel(service: ServiceId): ServiceChannel {
    const known = this.#channels.get(service);
    if (known !== undefined) return known;
    const { client, clock, logger, failureDomain } = this.#parts;
    const channel = new ServiceChannel({
      router: {
        service,
        failureDomain,
        random: randomSource(randomInt(SEED_LIMIT)),
        policy: SERVICE_POLICY,
      },
      client,
      clock,
      logger,
    });
    this.#channels.set(service, channel);
    return channel;
  }
}

const RETRY_AFTER_MILLISECONDS = 1_000;

function noServerFailure(service: ServiceId, isConfigured: boolean): Failure {
  return {
    reason: isConfigured ? "unavailable" : "not_found",
    step: "call_service",
    peer: service,
    message: `No server of service "${service}" is known.`,
    outcome: "not_run",
    ...(isConfigured && { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS }),
  };
}
