import type {
  RegistryEntry,
  RelayConfiguration,
  Route,
} from "@foxtailwind/core";
import { PassingListener } from "./soak_store.ts";

/** Tells that every route may be repeated. */
export class RepeatsEverything extends PassingListener {
  override configuration(configuration: RelayConfiguration): void {
    const routes = configuration.routes.map((route): Route => ({
      ...route,
      repeatable: true,
      resumable: route.streams,
    }));
    super.configuration({ ...configuration, routes });
  }
}

/** Tells of one slot more than engines have. */
export class AddsSlots extends PassingListener {
  override configuration(configuration: RelayConfiguration): void {
    const services = configuration.services.map((service) =>
      service.engine === undefined ? service : {
        ...service,
        engine: {
          ...service.engine,
          adapterSlots: service.engine.adapterSlots + 1,
        },
      }
    );
    super.configuration({ ...configuration, services });
  }
}

/** Tells of the first routes for ever. */
export class KeepsItsFirstRoutes extends PassingListener {
  #first: RelayConfiguration | undefined;

  override configuration(configuration: RelayConfiguration): void {
    this.#first ??= configuration;
    super.configuration({ ...this.#first, version: configuration.version });
  }
}

/** Tells of no version. */
export class HearsNoVersions extends PassingListener {
  override adapterVersion(): void {
    // Versions that operators name are not checked then.
  }
}

/** Tells of no departure. */
export class HearsNoDepartures extends PassingListener {
  override registryEntry(entry: RegistryEntry): void {
    if (entry.kind === "gone") return;
    super.registryEntry({
      ...entry,
      server: { ...entry.server, leaving: false },
    });
  }
}
