/**
 * Membership and ownership of this node in the cluster.
 * @module
 */
export * from "./cluster_hand_over.ts";
export * from "./cluster_node.ts";
export * from "./cluster_peer_views.ts";
export * from "./cluster_serving.ts";
export * from "./cluster_transport.ts";
export * from "./cluster_view.ts";
