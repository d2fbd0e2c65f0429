import {
  Server,
  ServerCredentials,
  type ServiceDefinition,
  type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import type { SocketAddress } from "../settings/settings.ts";

/** A gRPC service for peers and its implementation. */
export interface PeerRegistration {
  readonly definition: ServiceDefinition;
  readonly implementation: UntypedServiceImplementation;
  /** Ends long-lived calls once nothing is in progress on them. */
  readonly drain?: () => void;
}

/** Serves the gRPC services that other nodes call. */
export class PeerServer {
  readonly #server = new Server();
  readonly #registrations: readonly PeerRegistration[];

  /** @param registrations The services to serve. */
  constructor(registrations: readonly PeerRegistration[]) {
    this.#registrations = registrations;
    for (const { definition, implementation } of registrations) {
      this.#server.addService(definition, implementation);
    }
  }

  /**
   * Starts listening.
   * @param address The address; port 0 selects a free port.
   * @returns The port.
   */
  listen(address: SocketAddress): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(
        `${address.host}:${address.port}`,
        ServerCredentials.createInsecure(),
        (error, port) => {
          if (error !== null) reject(error);
          else resolve(port);
        },
      );
    });
  }

  /** Stops immediately and aborts the calls in progress. */
  abortConnections(): void {
    this.#server.forceShutdown();
  }

  /** Stops listening once the calls in progress have ended. */
  close(): Promise<void> {
    for (const registration of this.#registrations) registration.drain?.();
    return new Promise((resolve) => {
      this.#server.tryShutdown(() => {
        resolve();
      });
    });
  }
}
