import {
  adapterKey,
  type EngineId,
  type LoadLimits,
  type LoadWish,
  type NodeId,
  rendezvousChoice,
  type WeightStoreId,
} from "@foxtailwind/core";
import type { WeightStoreClient } from "@foxtailwind/edges";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { ComponentLogger } from "../../logging/component_logger.ts";
import type { PeerChannels } from "../../peers/peer_channels.ts";
import type { VmDirectory } from "../../platform/vm_directory.ts";
import type { MeasuredLoadEstimates } from "../adapter_aggregates.ts";
import {
  LoadPermits,
  type PermitListener,
  type PermittedLoad,
} from "./load_permits.ts";
import { PermitHolder } from "./permit_holder.ts";
import { PermitLink } from "./permit_link.ts";
import { StaticPermits } from "./static_permits.ts";

const LIMITS_REFRESH_MILLISECONDS = 5_000;
const TICK_MILLISECONDS = 500;
/** Without contact to the holder for this time, the static share is used. */
const HOLDER_TIMEOUT_MILLISECONDS = 2_000;
const HOLDER_KEY_PREFIX = "holder";

/** The dependencies of {@link NodeLoadPermits}. */
export interface NodeLoadPermitsParts {
  readonly self: NodeId;
  readonly store: WeightStoreId;
  readonly client: WeightStoreClient;
  readonly directory: VmDirectory;
  readonly channels: PeerChannels;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  readonly loadEstimates: MeasuredLoadEstimates;
}

/**
 * Requests permits from the node that holds those of the weight store, which
 * may be this node. The holder is chosen by rendezvous hashing over the live
 * nodes. While it is unreachable, each engine loads within a static share.
 */
export class NodeLoadPermits extends LoadPermits {
  readonly #parts: NodeLoadPermitsParts;
  readonly #listeners = new Map<EngineId, PermitListener>();
  readonly #permittedLoads = new Map<string, PermittedLoad>();
  readonly #staticPermits: StaticPermits;
  #holder: PermitHolder | undefined;
  #link: PermitLink | undefined;
  #holderReachedAt: number;
  #limitsReadAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  /** @param parts The dependencies. */
  constructor(parts: NodeLoadPermitsParts) {
    super();
    this.#parts = parts;
    this.#staticPermits = new StaticPermits(parts.clock);
    this.#holderReachedAt = parts.clock.now();
  }

  /** The permits, if this node holds them. */
  get holder(): PermitHolder | undefined {
    return this.#holder;
  }

  /** The limits of the weight store, as last read. */
  get limits(): LoadLimits {
    return this.#parts.loadEstimates.limits;
  }

  /** Starts reading the limits and following the choice of the holder. */
  start(): void {
    this.#tick();
    this.#timer = setInterval(() => {
      this.#tick();
    }, TICK_MILLISECONDS);
    this.#parts.directory.onChange(() => {
      this.#chooseHolder();
    });
  }

  /** Stops. Permits in use expire by themselves. */
  stop(): void {
    clearInterval(this.#timer);
    this.#holder?.stop();
    this.#holder = undefined;
    this.#link?.close();
    this.#link = undefined;
  }

  override register(engine: EngineId, listener: PermitListener): void {
    this.#listeners.set(engine, (adapter) => {
      const load = { engine, adapter };
      this.#permittedLoads.set(loadKey(load), load);
      listener(adapter);
    });
  }

  override unregister(engine: EngineId): void {
    this.#listeners.delete(engine);
    this.#holder?.removeEngine(engine);
    this.#link?.setWishes(engine, []);
  }

  override setWishes(engine: EngineId, wishes: readonly LoadWish[]): void {
    const listener = this.#listeners.get(engine);
    if (listener === undefined) return;
    if (this.#holder !== undefined) {
      this.#markHolderReached();
      this.#parts.loadEstimates.outstanding = this.#holder.outstanding;
      this.#holder.setWishes(engine, wishes, listener);
      return;
    }
    this.#link?.setWishes(engine, wishes);
    if (this.#isHolderReachable()) return;
    this.#staticPermits.setWishes(engine, wishes, {
      limits: this.limits,
      engines: this.#parts.directory.live("engine").length,
      listener,
    });
  }

  override release(load: PermittedLoad & { readonly loaded: boolean }): void {
    this.#permittedLoads.delete(loadKey(load));
    this.#holder?.release(load);
    this.#link?.release(load);
    this.#staticPermits.release(load);
  }

  #tick(): void {
    this.#chooseHolder();
    for (const load of this.#permittedLoads.values()) {
      this.#holder?.renew(load);
      this.#link?.renew(load);
    }
    void this.#readLimits();
  }

  #chooseHolder(): void {
    const { self, store, directory, clock, logger } = this.#parts;
    const nodes = directory.live("entry");
    const key = `${HOLDER_KEY_PREFIX}/${store}`;
    const chosen = rendezvousChoice(key, nodes.map((vm) => vm.id));
    if (chosen === self) {
      this.#link?.close();
      this.#link = undefined;
      if (this.#holder !== undefined) return;
      logger.info("Started holding the load permits.", { store });
      this.#holder = new PermitHolder(clock, this.limits);
      return;
    }
    this.#holder?.stop();
    this.#holder = undefined;
    const vm = nodes.find((node) => node.id === chosen);
    this.#connect(vm?.peerAddress ?? vm?.address);
  }

  #connect(address: string | undefined): void {
    if (this.#link?.address === address) return;
    this.#link?.close();
    this.#link = undefined;
    if (address === undefined) return;
    const channel = this.#parts.channels.getChannel(address);
    const link = new PermitLink(address, channel, {
      onPermit: (engine, adapter) => {
        this.#deliverPermit({ engine, adapter });
      },
      onOutstanding: (permits) => {
        this.#markHolderReached();
        this.#parts.loadEstimates.outstanding = permits;
      },
      onLost: () => {
        if (this.#link === link) this.#link = undefined;
      },
    });
    this.#link = link;
    for (const load of this.#permittedLoads.values()) link.renew(load);
  }

  #deliverPermit(load: PermittedLoad): void {
    const listener = this.#listeners.get(load.engine);
    if (listener === undefined) this.release({ ...load, loaded: false });
    else listener(load.adapter);
  }

  #markHolderReached(): void {
    this.#holderReachedAt = this.#parts.clock.now();
  }

  #isHolderReachable(): boolean {
    const silentMilliseconds = this.#parts.clock.now() - this.#holderReachedAt;
    return silentMilliseconds < HOLDER_TIMEOUT_MILLISECONDS;
  }

  async #readLimits(): Promise<void> {
    const { clock, client, loadEstimates } = this.#parts;
    if (clock.now() < this.#limitsReadAt + LIMITS_REFRESH_MILLISECONDS) return;
    this.#limitsReadAt = clock.now();
    const limits = await client.readLimits();
    if (limits.isErr()) return;
    loadEstimates.limits = limits.value;
    this.#holder?.changeLimits(limits.value);
  }
}

function loadKey(load: PermittedLoad): string {
  return `${load.engine}/${adapterKey(load.adapter)}`;
}
