import {
  Server,
  ServerCredentials,
  type ServiceDefinition,
  type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import type { SocketAddress } from "../settings/settings.ts";

/** One gRPC service that peers may call, with what answers it. */
export interface PeerRegistration {
  readonly definition: ServiceDefinition;
  readonly implementation: UntypedServiceImplementation;
  /** Ends calls that would stay open, once nothing is in progress on them. */
  readonly drain?: () => void;
}

/** Answers the other nodes. */
export class PeerServer {
  readonly #server = new Server();
  readonly #registrations: readonly PeerRegistration[];

  constructor(registrations: readonly PeerRegistration[]) {
    this.#registrations = registrations;
    for (const { definition, implementation } of registrations) {
      this.#server.addService(definition, implementation);
    }
  }

  /**
   * Starts to listen.
   * @param address Where; port 0 takes a free one.
   * @returns The port taken.
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

  /** Stops at once and ends the calls in progress. */
  cutConnections(): void {
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
