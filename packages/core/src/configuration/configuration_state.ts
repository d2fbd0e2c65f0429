import type {
  AdapterId,
  AdapterVersion,
  ChangeId,
  ClassId,
  LogOffset,
  ModelId,
  ServiceId,
  TenantId,
} from "../shared/mod.ts";
import type { ConfigurationChange, LatencyTarget } from "./change.ts";
import { type ItemKey, itemKeyOf } from "./item_key.ts";

/** The configuration of an adapter. */
export interface ConfiguredAdapter {
  readonly adapter: AdapterId;
  readonly model: ModelId;
  readonly versions: readonly AdapterVersion[];
  /** The version served to requests that specify none. */
  readonly current: AdapterVersion;
}

/** The change that last set or removed an item. */
export interface ItemOrigin {
  readonly offset: LogOffset;
  readonly author: string;
  readonly change: ChangeId;
}

/** The items of the configuration and the origin of each. */
export class ConfigurationState {
  readonly classes = new Map<ClassId, LatencyTarget>();
  readonly tenants = new Set<TenantId>();
  readonly adapters = new Map<AdapterId, ConfiguredAdapter>();
  readonly services = new Map<ServiceId, LatencyTarget>();
  readonly origins = new Map<ItemKey, ItemOrigin>();

  /**
   * Applies a change to its item.
   * @param change The change.
   * @param origin The origin to record for the item.
   */
  apply(change: ConfigurationChange, origin: ItemOrigin): void {
    this.origins.set(itemKeyOf(change), origin);
    switch (change.kind) {
      case "set_class":
        this.classes.set(change.class, change.target);
        break;
      case "remove_class":
        this.classes.delete(change.class);
        break;
      case "set_tenant":
        this.tenants.add(change.tenant);
        break;
      case "remove_tenant":
        this.tenants.delete(change.tenant);
        break;
      case "set_adapter": {
        const { adapter, model, versions, current } = change;
        this.adapters.set(adapter, { adapter, model, versions, current });
        break;
      }
      case "remove_adapter":
        this.adapters.delete(change.adapter);
        break;
      case "set_service":
        this.services.set(change.service, change.target);
        break;
      case "remove_service":
        this.services.delete(change.service);
        break;
    }
  }

  /**
   * Returns an item's current state as the change that would produce it.
   * @param item The item.
   * @returns The change; a removal if the item does not exist.
   */
  stateAsChange(item: ItemKey): ConfigurationChange {
    const separator = item.indexOf("/");
    const kind = item.slice(0, separator);
    const id = item.slice(separator + 1);
    switch (kind) {
      case "class":
        return this.#classChange(id as ClassId);
      case "tenant":
        return this.tenants.has(id as TenantId)
          ? { kind: "set_tenant", tenant: id as TenantId }
          : { kind: "remove_tenant", tenant: id as TenantId };
      case "service":
        return this.#serviceChange(id as ServiceId);
      default:
        return this.#adapterChange(id as AdapterId);
    }
  }

  #classChange(id: ClassId): ConfigurationChange {
    const target = this.classes.get(id);
    return target === undefined
      ? { kind: "remove_class", class: id }
      : { kind: "set_class", class: id, target };
  }

  #serviceChange(id: ServiceId): ConfigurationChange {
    const target = this.services.get(id);
    return target === undefined
      ? { kind: "remove_service", service: id }
      : { kind: "set_service", service: id, target };
  }

  #adapterChange(id: AdapterId): ConfigurationChange {
    const adapter = this.adapters.get(id);
    return adapter === undefined
      ? { kind: "remove_adapter", adapter: id }
      : { kind: "set_adapter", ...adapter };
  }
}
