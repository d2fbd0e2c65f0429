import { Controller, Get, Headers, Inject, Query } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Query parameters with which a caller describes itself. */
interface AddressesQuery {
  readonly region?: string;
  readonly failure_domain?: string;
  readonly adapter?: string;
}

/** Serves the node addresses that callers should use. */
@Controller("v1/addresses")
export class AddressesController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Lists the nodes to use, best first, and the list's lifetime. */
  @Get()
  addresses(
    @Query() query: AddressesQuery,
    @Headers("x-foxtailwind-failure-domain") domainHeader: string | undefined,
  ) {
    const { region, adapter } = query;
    const failureDomain = query.failure_domain ?? domainHeader;
    const answer = this.#parts.addresses.answer({
      ...(region !== undefined && { region }),
      ...(failureDomain !== undefined && { failureDomain }),
      ...(adapter !== undefined && { adapter }),
    });
    return {
      addresses: answer.vms.map((vm) => ({
        node: vm.id,
        url: `http://${vm.address}`,
        region: vm.region,
        failure_domain: vm.failureDomain,
      })),
      expires_in_seconds: answer.lifetime / MILLISECONDS_PER_SECOND,
      ...(!this.#parts.drain.isLeaving && {
        key_scope: this.#parts.keyedExecution.createScopePrefix(
          answer.lifetime,
        ),
      }),
    };
  }
}
