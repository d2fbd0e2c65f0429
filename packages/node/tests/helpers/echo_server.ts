import { serviceId } from "@foxtailwind/core";
import type { ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type IncomingHttpHeaders } from "node:http";
import type { AddressInfo } from "node:net";
import { buildVm, type Deployment, startDeployment } from "./deployment.ts";

/** A request as the server received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
}

/** A server that returns the request's body. */
export interface EchoServer {
  readonly requests: readonly ReceivedRequest[];
}

/**
 * Starts a daemon and a server of "booking" that echoes bodies. Both stop at
 * the end of the test.
 * @param t The test.
 * @returns The deployment and the echo server.
 */
export async function startEchoDeployment(
  t: ExecutionContext,
): Promise<Deployment & { readonly echo: EchoServer }> {
  const requests: ReceivedRequest[] = [];
  const server = createServer((request, response) => {
    const { method = "", url = "", headers } = request;
    requests.push({ method, url, headers });
    response.writeHead(200, {
      connection: "x-hop",
      "x-hop": "dropped",
      "x-answer": "kept",
    });
    request.pipe(response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const deployment = await startDeployment(t, {});
  const service = serviceId("booking");
  deployment.vmList.setVm(
    buildVm("echo", `127.0.0.1:${port}`, { kind: "service", service }),
  );
  await deployment.refresh();
  return { ...deployment, echo: { requests } };
}
