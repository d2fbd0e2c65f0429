import {
  eraOf,
  type LogOffset,
  logOffset,
  logPosition,
  type RegistryEntry,
  type RelayConfiguration,
  type Route,
  type SoftwareVersion,
  softwareVersion,
  type StreamSource,
} from "@foxtailwind/core";
import type { ClaimRecord, SharedLogListener } from "@foxtailwind/node/relay";
import { ENGINES } from "./soak_configuration.ts";
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

/** Tells that the engines' memory is not limited. */
export class HearsNoMemory extends PassingListener {
  override configuration(configuration: RelayConfiguration): void {
    const services = configuration.services.map((service) =>
      service.engine === undefined
        ? service
        : { ...service, engine: { ...service.engine, megabytes: 0 } }
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

/** Tells of one software version only. */
export class HearsNoSoftware extends PassingListener {
  override registryEntry(entry: RegistryEntry): void {
    super.registryEntry(withoutSoftware(entry));
  }

  override registryListed(
    entries: readonly RegistryEntry[],
    end: LogOffset,
  ): void {
    super.registryListed(entries.map(withoutSoftware), end);
  }
}

function withoutSoftware(entry: RegistryEntry): RegistryEntry {
  if (entry.kind === "gone") return entry;
  const server = { ...entry.server, software: softwareVersion("any") };
  return { ...entry, server };
}

/** Passes on software that never was, so that streams may have begun there. */
export class AddsStreamSource extends PassingListener {
  override streamSourcesListed(
    sources: readonly StreamSource[],
    isConfirmed: boolean,
  ): void {
    super.streamSourcesListed(sources, isConfirmed);
    for (const route of ["drafts", "notes"]) {
      super.streamSourceStored({
        host: "desk.example",
        pathPrefix: `/${route}/`,
        service: ENGINES,
        software: softwareVersion("never"),
      });
    }
  }
}

/** Passes on everything, and tells the software of each entry. */
export class ListensForSoftware extends PassingListener {
  readonly #onSoftware: (software: SoftwareVersion) => void;

  /**
   * @param next Takes what is passed on.
   * @param onSoftware Called with the software of each registered server.
   */
  constructor(
    next: SharedLogListener,
    onSoftware: (software: SoftwareVersion) => void,
  ) {
    super(next);
    this.#onSoftware = onSoftware;
  }

  override registryEntry(entry: RegistryEntry): void {
    const isEngine = entry.kind === "present" &&
      entry.server.models.length > 0;
    if (isEngine) this.#onSoftware(entry.server.software);
    super.registryEntry(entry);
  }
}

/** Tells of offsets alone, which are given out again. */
export class TellsNoEras extends PassingListener {
  override operatorsTold(end: LogOffset): void {
    super.operatorsTold(withoutEra(end));
  }

  override registryEntry(entry: RegistryEntry): void {
    super.registryEntry({ ...entry, offset: withoutEra(entry.offset) });
  }

  override registryListed(
    entries: readonly RegistryEntry[],
    end: LogOffset,
  ): void {
    super.registryListed(
      entries.map((entry) => ({ ...entry, offset: withoutEra(entry.offset) })),
      withoutEra(end),
    );
  }

  override claim(claim: ClaimRecord, offset: LogOffset): void {
    super.claim(claim, withoutEra(offset));
  }

  override logRestored(): void {
    // What nodes have written isn't written again.
  }
}

function withoutEra(position: LogOffset): LogOffset {
  return logOffset(position - logPosition(eraOf(position), 0));
}
