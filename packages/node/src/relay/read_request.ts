import type { Instant, RelayService, Route } from "@foxtailwind/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest } from "./caller_wire.ts";

/** A caller's request that has been read whole and has a route. */
export interface ReadRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly service: RelayService;
  readonly body: Buffer | undefined;
  readonly arrivedAt: Instant;
}
