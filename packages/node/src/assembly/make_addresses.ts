import { type Configuration, seconds } from "@foxtailwind/core";
import { type ClusterNode, ClusterPeerViews } from "../cluster/mod.ts";
import type { Drain, WorkInProgress } from "../drain/mod.ts";
import type { VmDirectory } from "../platform/vm_directory.ts";
import {
  AddressDirectory,
  OwnView,
  RoutedControllers,
} from "../routing/mod.ts";
import type { GenerationRouter } from "../serving/generation_router.ts";
import type { Settings } from "../settings/settings.ts";

/** What a daemon's address answers are worked out from. */
export interface AddressSources {
  readonly settings: Settings;
  readonly directory: VmDirectory;
  readonly cluster: ClusterNode;
  readonly drain: Drain;
  readonly work: WorkInProgress;
  readonly router: GenerationRouter;
  readonly configuration: Configuration;
}

/**
 * Makes the part that tells callers which nodes to use.
 * @param sources What the answers are worked out from.
 * @returns The part.
 */
export function makeAddresses(sources: AddressSources): AddressDirectory {
  const { settings, directory, drain, work } = sources;
  const own = new OwnView({
    self: settings.node.id,
    isLeaving: () => drain.isLeaving,
    load: () => work.count,
  });
  return new AddressDirectory({
    directory,
    peers: new ClusterPeerViews(sources.cluster, own),
    controllers: new RoutedControllers(sources.router, sources.configuration),
    longestLifetime: seconds(settings.addresses.lifetime_seconds),
  });
}
