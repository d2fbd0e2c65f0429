import type { Brand } from "./brand.ts";

/** Identifies a node (one daemon on one entry VM) across its restarts. */
export type NodeId = Brand<string, "NodeId">;

/**
 * Brands a validated string as a NodeId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function nodeId(value: string): NodeId {
  return value as NodeId;
}

/** Identifies one run of a node's process; a restart makes a new one. */
export type IncarnationId = Brand<string, "IncarnationId">;

/**
 * Brands a validated string as an IncarnationId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function incarnationId(value: string): IncarnationId {
  return value as IncarnationId;
}

/** Identifies a model engine on a backend server VM. */
export type EngineId = Brand<string, "EngineId">;

/**
 * Brands a validated string as an EngineId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function engineId(value: string): EngineId {
  return value as EngineId;
}

/** Identifies a base model. */
export type ModelId = Brand<string, "ModelId">;

/**
 * Brands a validated string as a ModelId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function modelId(value: string): ModelId {
  return value as ModelId;
}

/** Identifies a LoRA adapter. */
export type AdapterId = Brand<string, "AdapterId">;

/**
 * Brands a validated string as an AdapterId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function adapterId(value: string): AdapterId {
  return value as AdapterId;
}

/** Identifies one immutable version of an adapter. */
export type AdapterVersion = Brand<string, "AdapterVersion">;

/**
 * Brands a validated string as an AdapterVersion.
 * @param value The raw value.
 * @returns The branded value.
 */
export function adapterVersion(value: string): AdapterVersion {
  return value as AdapterVersion;
}

/** Identifies a request class, which has a latency target. */
export type ClassId = Brand<string, "ClassId">;

/**
 * Brands a validated string as a ClassId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function classId(value: string): ClassId {
  return value as ClassId;
}

/** Identifies a tenant; tenants share fairly within a class. */
export type TenantId = Brand<string, "TenantId">;

/**
 * Brands a validated string as a TenantId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function tenantId(value: string): TenantId {
  return value as TenantId;
}

/** Identifies a plain service that runs beside the engines. */
export type ServiceId = Brand<string, "ServiceId">;

/**
 * Brands a validated string as a ServiceId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function serviceId(value: string): ServiceId {
  return value as ServiceId;
}

/** Identifies one server of a plain service. */
export type BackendServerId = Brand<string, "BackendServerId">;

/**
 * Brands a validated string as a BackendServerId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function backendServerId(value: string): BackendServerId {
  return value as BackendServerId;
}

/** The version of the software that a backend server runs. */
export type SoftwareVersion = Brand<string, "SoftwareVersion">;

/**
 * Brands a validated string as a SoftwareVersion.
 * @param value The raw value.
 * @returns The branded value.
 */
export function softwareVersion(value: string): SoftwareVersion {
  return value as SoftwareVersion;
}

/** Identifies a weight store; load permits are issued per store. */
export type WeightStoreId = Brand<string, "WeightStoreId">;

/**
 * Brands a validated string as a WeightStoreId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function weightStoreId(value: string): WeightStoreId {
  return value as WeightStoreId;
}

/** Identifies a region. */
export type RegionId = Brand<string, "RegionId">;

/**
 * Brands a validated string as a RegionId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function regionId(value: string): RegionId {
  return value as RegionId;
}

/** Identifies a failure domain of a region. */
export type FailureDomainId = Brand<string, "FailureDomainId">;

/**
 * Brands a validated string as a FailureDomainId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function failureDomainId(value: string): FailureDomainId {
  return value as FailureDomainId;
}

/** Identifies one request of a caller, unique across nodes. */
export type RequestId = Brand<string, "RequestId">;

/**
 * Brands a validated string as a RequestId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function requestId(value: string): RequestId {
  return value as RequestId;
}

/** The caller's key of a request that must not run twice. */
export type IdempotencyKey = Brand<string, "IdempotencyKey">;

/**
 * Brands a validated string as an IdempotencyKey.
 * @param value The raw value.
 * @returns The branded value.
 */
export function idempotencyKey(value: string): IdempotencyKey {
  return value as IdempotencyKey;
}

/** Identifies an operator's configuration change, for idempotent appends. */
export type ChangeId = Brand<string, "ChangeId">;

/**
 * Brands a validated string as a ChangeId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function changeId(value: string): ChangeId {
  return value as ChangeId;
}

/** The position of a record in one stream of the platform's log. */
export type LogOffset = Brand<number, "LogOffset">;

/**
 * Brands a validated number as a LogOffset.
 * @param value The raw value.
 * @returns The branded value.
 */
export function logOffset(value: number): LogOffset {
  return value as LogOffset;
}

/**
 * The fencing token of commands to an engine: the offset of the view that
 * granted control of it.
 */
export type FencingNumber = Brand<number, "FencingNumber">;

/**
 * Brands a validated number as a FencingNumber.
 * @param value The raw value.
 * @returns The branded value.
 */
export function fencingNumber(value: number): FencingNumber {
  return value as FencingNumber;
}

/** The number of an attempt at a request, starting at 1. */
export type AttemptNumber = Brand<number, "AttemptNumber">;

/**
 * Brands a validated number as an AttemptNumber.
 * @param value The raw value.
 * @returns The branded value.
 */
export function attemptNumber(value: number): AttemptNumber {
  return value as AttemptNumber;
}

/** Identifies the content of a request, independent of its sender. */
export type ContentDigest = Brand<string, "ContentDigest">;

/**
 * Brands a validated string as a ContentDigest.
 * @param value The raw value.
 * @returns The branded value.
 */
export function contentDigest(value: string): ContentDigest {
  return value as ContentDigest;
}

/** Identifies a client account; every API key belongs to one. */
export type ClientAccountId = Brand<string, "ClientAccountId">;

/**
 * Brands a validated string as a ClientAccountId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function clientAccountId(value: string): ClientAccountId {
  return value as ClientAccountId;
}

/** A digest of an API key, which identifies the key without revealing it. */
export type ApiKeyDigest = Brand<string, "ApiKeyDigest">;

/**
 * Brands a validated string as an ApiKeyDigest.
 * @param value The raw value.
 * @returns The branded value.
 */
export function apiKeyDigest(value: string): ApiKeyDigest {
  return value as ApiKeyDigest;
}

/** Identifies a part of a prompt that requests may share. */
export type PromptPartId = Brand<string, "PromptPartId">;

/**
 * Brands a validated string as a PromptPartId.
 * @param value The raw value.
 * @returns The branded value.
 */
export function promptPartId(value: string): PromptPartId {
  return value as PromptPartId;
}
