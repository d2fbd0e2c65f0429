import { type Configuration, seconds } from "@foxtailwind/core";
import { type ClusterNode, ClusterPeerViews } from "../cluster/mod.ts";
import type { Drain, WorkInProgress } from "../drain/mod.ts";
import type { VmDirectory } from "../platform/vm_directory.ts";
import {
  AddressDirectory,
  LocalPeerViews,
  RoutedControllerFinder,
} from "../routing/mod.ts";
import type { GenerationRouter } from "../serving/generation_router.ts";
import type { Settings } from "../settings/settings.ts";

/** Dependencies of a daemon's address directory. */
export interface AddressDependencies {
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
 * @param dependencies Its dependencies.
 * @returns The directory.
 */
export function makeAddresses(
  dependencies: AddressDependencies,
): AddressDirectory {
  const { settings, directory, drain, work } = dependencies;
  const ownView = new LocalPeerViews({
    self: settings.node.id,
    isLeaving: () => drain.isLeaving,
    load: () => work.count,
  });
  return new AddressDirectory({
    directory,
    peers: new ClusterPeerViews(dependencies.cluster, ownView),
    controllers: new RoutedControllerFinder(
      dependencies.router,
      dependencies.configuration,
    ),
    maximumLifetime: seconds(settings.addresses.lifetime_seconds),
  });
}
