export * from "./address_directory.ts";
export * from "./local_peer_views.ts";
export * from "./routed_controller_finder.ts";
export * from "./service_channel.ts";
export * from "./service_dispatcher.ts";
