import { Channel, credentials } from "@grpc/grpc-js";

/** Backoff limits that reconnect to a restarted peer within a second. */
const CHANNEL_OPTIONS = {
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.min_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1_000,
  "grpc.keepalive_time_ms": 1_500,
  "grpc.keepalive_timeout_ms": 1_000,
} as const;

/** Keeps one gRPC connection to each peer, shared by all services. */
export class PeerChannels {
  readonly #channels = new Map<string, Channel>();
  #isClosed = false;

  /** Whether the node has stopped and no longer calls peers. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /**
   * Returns the connection to a peer, creating it if needed.
   * @param address The IP literal and port.
   * @returns The channel.
   */
  getChannel(address: string): Channel {
    const known = this.#channels.get(address);
    if (known !== undefined) return known;
    const channel = new Channel(
      address,
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
    this.#channels.set(address, channel);
    return channel;
  }

  /**
   * Closes the connections to all peers but the given ones.
   * @param kept The addresses of the remaining peers.
   */
  retainOnly(kept: ReadonlySet<string>): void {
    for (const [address, channel] of this.#channels) {
      if (kept.has(address)) continue;
      channel.close();
      this.#channels.delete(address);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#isClosed = true;
    this.retainOnly(new Set());
  }
}
