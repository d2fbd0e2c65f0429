import {
  type AdapterReference,
  type ExportedKvCache,
  parseJson,
  type StatedFailure,
} from "@foxtailwind/edges";
import type { RequestId } from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { refusal } from "../shared/refusal.ts";
import { adapterKey } from "./adapter_key.ts";
import type { Generation } from "./generation.ts";

/** What the stand-in keeps of a KV cache. */
export interface KvCache {
  readonly adapter: AdapterReference;
  readonly generated: number;
  readonly totalTokens: number;
  /** The length of prompt and answer, which sets the time of a transfer. */
  readonly tokens: number;
}

const kvDataSchema = z.object({
  generated: z.number().int().nonnegative(),
  totalTokens: z.number().int().positive(),
  tokens: z.number().int().nonnegative(),
});

const KEPT_IMPORTS = 256;

/**
 * Exports the KV cache of a generation.
 * @param generation The generation.
 * @returns The cache in the form in which it travels.
 */
export function exportKvCache(generation: Generation): ExportedKvCache {
  const { request, adapter, generated, totalTokens } = generation;
  const tokens = generation.promptTokens + generated;
  const data = JSON.stringify({ generated, totalTokens, tokens });
  return { request, adapter, data };
}

/** KV caches that were imported and are not used yet. */
export class ImportedKvCaches {
  readonly #caches = new Map<RequestId, KvCache>();

  /**
   * Takes an exported cache in.
   * @param exported The cache.
   * @returns What is kept of it, or why it is refused.
   */
  add(exported: ExportedKvCache): Result<KvCache, StatedFailure> {
    const parsed = kvDataSchema.safeParse(parseJson(exported.data));
    if (!parsed.success) {
      return err(refusal("invalid", "Cannot read the KV cache"));
    }
    const cache = { ...parsed.data, adapter: exported.adapter };
    this.#caches.set(exported.request, cache);
    const [oldest] = this.#caches.keys();
    if (this.#caches.size > KEPT_IMPORTS && oldest !== undefined) {
      this.#caches.delete(oldest);
    }
    return ok(cache);
  }

  /**
   * Uses up the cache of a request.
   * @param request The request.
   * @param adapter The adapter that must have made it.
   * @returns The cache, where there is one of that adapter.
   */
  take(request: RequestId, adapter: AdapterReference): KvCache | undefined {
    const cache = this.#caches.get(request);
    if (cache === undefined) return undefined;
    if (adapterKey(cache.adapter) !== adapterKey(adapter)) return undefined;
    this.#caches.delete(request);
    return cache;
  }
}
