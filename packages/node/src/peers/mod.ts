export * from "./generation_service.ts";
export * from "./hand_over_outbox.ts";
export * from "./peer_channels.ts";
export * from "./peer_clients.ts";
export * from "./peer_server.ts";
