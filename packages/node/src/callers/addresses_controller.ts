import { Controller, Get, Inject } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";

const ADDRESS_LIFETIME_SECONDS = 30;

/** Tells callers which addresses to use. */
@Controller("v1/addresses")
export class AddressesController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Lists the nodes that take new work. */
  @Get()
  addresses() {
    return {
      addresses: this.#parts.directory.live("entry").map((vm) => ({
        node: vm.id,
        url: `http://${vm.address}`,
        region: vm.region,
        failure_domain: vm.failureDomain,
      })),
      expires_in_seconds: ADDRESS_LIFETIME_SECONDS,
    };
  }
}
