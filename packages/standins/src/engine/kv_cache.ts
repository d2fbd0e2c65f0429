import {
  type AdapterReference,
  type ExportedKvCache,
  parseJson,
  type ReportedFailure,
} from "@foxtailwind/edges";
import type { RequestId } from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { refusal } from "../shared/refusal.ts";
import { adapterKey } from "./adapter_key.ts";
import type { Generation } from "./generation.ts";

/** The part of an imported KV cache that the stand-in keeps. */
export interface ImportedKvCache {
  readonly adapter: AdapterReference;
  readonly generated: number;
  readonly totalTokens: number;
  /** The tokens of prompt and answer, which determine the transfer time. */
  readonly tokens: number;
}

const kvCacheDataSchema = z.object({
  generated: z.number().int().nonnegative(),
  totalTokens: z.number().int().positive(),
  tokens: z.number().int().nonnegative(),
});

const MAXIMUM_IMPORTED_CACHES = 256;

/**
 * Exports the KV cache of a generation.
 * @param generation The generation.
 * @returns The serialized cache.
 */
export function exportKvCache(generation: Generation): ExportedKvCache {
  const { request, adapter, generated, totalTokens } = generation;
  const tokens = generation.promptTokens + generated;
  const data = JSON.stringify({ generated, totalTokens, tokens });
  return { request, adapter, data };
}

/** KV caches that were imported and not used yet. */
export class ImportedKvCaches {
  readonly #caches = new Map<RequestId, ImportedKvCache>();

  /**
   * Imports an exported cache. Beyond the maximum number, the cache that was
   * imported first is removed.
   * @param exported The cache.
   * @returns The imported cache, or the refusal.
   */
  add(exported: ExportedKvCache): Result<ImportedKvCache, ReportedFailure> {
    const parsed = kvCacheDataSchema.safeParse(parseJson(exported.data));
    if (!parsed.success) {
      return err(refusal("invalid", "Cannot read the KV cache"));
    }
    const cache = { ...parsed.data, adapter: exported.adapter };
    this.#caches.set(exported.request, cache);
    const [oldest] = this.#caches.keys();
    if (this.#caches.size > MAXIMUM_IMPORTED_CACHES && oldest !== undefined) {
      this.#caches.delete(oldest);
    }
    return ok(cache);
  }

  /**
   * Removes and returns the cache of a request.
   * @param request The request.
   * @param adapter The adapter that must have computed it.
   * @returns The cache, or `undefined` if there is none of that adapter.
   */
  take(
    request: RequestId,
    adapter: AdapterReference,
  ): ImportedKvCache | undefined {
    const cache = this.#caches.get(request);
    if (cache === undefined) return undefined;
    if (adapterKey(cache.adapter) !== adapterKey(adapter)) return undefined;
    this.#caches.delete(request);
    return cache;
  }
}
