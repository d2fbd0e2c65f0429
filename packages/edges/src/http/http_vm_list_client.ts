import type { Failure } from "@foxtailwind/core";
import type { Result } from "neverthrow";
import { type Vm, VmListClient } from "../vm_list_client.ts";
import type { HttpClientOptions } from "./client_options.ts";
import { callJson } from "./call_json.ts";
import { vmListSchema } from "./vm_schema.ts";

/** HTTP client for the platform's list of VMs. */
export class HttpVmListClient extends VmListClient {
  readonly #options: HttpClientOptions;

  /** @param options The service's address, connections and timeouts. */
  constructor(options: HttpClientOptions) {
    super();
    this.#options = options;
  }

  override async read(): Promise<Result<readonly Vm[], Failure>> {
    const response = await callJson(this.#options, {
      step: "read_vm_list",
      method: "GET",
      path: "/v1/vms",
      responseSchema: vmListSchema,
    });
    return response.map(({ vms }) => vms);
  }
}
