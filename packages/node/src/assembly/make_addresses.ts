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

/** Dependencies of a daemon's address directory. */
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
 * Creates the directory that selects the nodes callers should use.
 * @param sources Its dependencies.
 * @returns The directory.
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
