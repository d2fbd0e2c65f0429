export * from "./address_directory.ts";
export * from "./own_view.ts";
export * from "./routed_controllers.ts";
export * from "./service_channel.ts";
export * from "./service_dispatcher.ts";
