import {
  type AdapterId,
  type Configuration,
  type ConfiguredAdapter,
  type ItemKey,
  type LatencyTarget,
} from "@foxtailwind/core";
import { Controller, Get, Inject, Query } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";
import { parseWholeNumber } from "./parse_whole_number.ts";

const DEFAULT_PAGE_SIZE = 100;
const MAXIMUM_PAGE_SIZE = 10_000;

/** Lists the items of the configuration in force on this node. */
@Controller("v1/operators")
export class ItemsController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Lists the classes and their targets. */
  @Get("classes")
  classes() {
    const { configuration } = this.#parts.follower;
    return {
      offset: configuration.offset,
      classes: targetRows(configuration, "class", configuration.classes),
    };
  }

  /** Lists the services and their targets. */
  @Get("services")
  services() {
    const { configuration } = this.#parts.follower;
    return {
      offset: configuration.offset,
      services: targetRows(configuration, "service", configuration.services),
    };
  }

  /** Lists the tenants. */
  @Get("tenants")
  tenants() {
    const { configuration } = this.#parts.follower;
    const tenants = [...configuration.tenants].sort().map((tenant) => ({
      tenant,
      ...originOf(configuration, `tenant/${tenant}`),
    }));
    return { offset: configuration.offset, tenants };
  }

  /** Lists one page of the adapters and their versions. */
  @Get("adapters")
  adapters(
    @Query("after") after: string | undefined,
    @Query("limit") limit: string | undefined,
    @Query("model") model: string | undefined,
  ) {
    const { configuration } = this.#parts.follower;
    const count = parseWholeNumber(limit, {
      otherwise: DEFAULT_PAGE_SIZE,
      maximum: MAXIMUM_PAGE_SIZE,
    });
    const ids = listAdapterIds(configuration, model);
    const page = ids.filter((id) => id > (after ?? "")).slice(0, count);
    return {
      offset: configuration.offset,
      total: ids.length,
      adapters: page.flatMap((id) => adapterRows(configuration, id)),
    };
  }
}

function listAdapterIds(
  configuration: Configuration,
  model: string | undefined,
): readonly AdapterId[] {
  const matchesModel = (adapter: ConfiguredAdapter) =>
    model === undefined || adapter.model === model;
  return [...configuration.adapters.values()].filter(matchesModel)
    .map(({ adapter }) => adapter).sort();
}

function adapterRows(configuration: Configuration, id: AdapterId) {
  const adapter = configuration.adapters.get(id);
  if (adapter === undefined) return [];
  return [{ ...adapter, ...originOf(configuration, `adapter/${id}`) }];
}

function targetRows<Id extends string>(
  configuration: Configuration,
  kind: "class" | "service",
  targets: ReadonlyMap<Id, LatencyTarget>,
) {
  return [...targets]
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([id, target]) => ({
      [kind]: id,
      target,
      ...originOf(configuration, `${kind}/${id}`),
    }));
}

function originOf(configuration: Configuration, item: string) {
  const origin = configuration.origins.get(item as ItemKey);
  return { version: origin?.offset ?? -1, author: origin?.author ?? "" };
}
