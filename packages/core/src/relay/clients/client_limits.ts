const BYTES_PER_MEGABYTE = 1_048_576;
/** The share of a VM's memory that is kept for callers. */
const MEMORY_SHARE = 1 / 5;
/** The share of that memory which only small requests may use. */
const SMALL_REQUEST_SHARE = 1 / 4;
/** The share of that memory which open connections may use. */
const CONNECTION_MEMORY_SHARE = 1 / 2;
/** Descriptors that a process needs for files. */
const FILE_DESCRIPTOR_RESERVE = 200;
/** The share of the other descriptors that callers may use. */
const DESCRIPTOR_SHARE = 3 / 4;

/**
 * What an open connection costs besides its requests: its socket, its parser
 * and the head of a request that has not ended.
 */
export const CONNECTION_BYTES = 24 * 1_024;
/** What a request with few header fields costs besides its body. */
export const REQUEST_BYTES = 8 * 1_024;
/** The number of header fields that are part of that. */
const USUAL_FIELDS = 64;
/**
 * What each further field costs: its name, its value and its places in the
 * parser's lists, and as much again for a field of the trailers.
 */
const FIELD_BYTES = 160;
/** Bodies up to this length count as small. */
export const SMALL_BODY_BYTES = 64 * 1_024;

/** What the VM has, and what operators set instead of the defaults. */
export interface ClientLimitSettings {
  /** The memory of the VM, in megabytes. */
  readonly vmMegabytes: number;
  /** The file descriptors of the process. */
  readonly fileDescriptors: number;
  /** The memory for callers, in megabytes; by default a share of the VM's. */
  readonly megabytes?: number | undefined;
  /** The most open connections; by default what the VM allows. */
  readonly connections?: number | undefined;
}

/** How much of a node all of its callers may use together. */
export interface ClientLimits {
  /** The memory for connections, requests and bodies, in bytes. */
  readonly bytes: number;
  /** The part of it that only small requests may use, in bytes. */
  readonly smallRequestBytes: number;
  /** The most open connections. */
  readonly connections: number;
}

/**
 * Computes what a request costs besides its body.
 * @param fields The number of its header fields.
 * @returns The memory, in bytes.
 */
export function requestBytes(fields: number): number {
  return REQUEST_BYTES + Math.max(0, fields - USUAL_FIELDS) * FIELD_BYTES;
}

/**
 * Computes how much of a node its callers may use.
 * @param settings The VM, and the settings of the operators.
 * @returns The limits.
 */
export function computeClientLimits(
  { vmMegabytes, fileDescriptors, megabytes, connections }: ClientLimitSettings,
): ClientLimits {
  const bytes = (megabytes ?? vmMegabytes * MEMORY_SHARE) * BYTES_PER_MEGABYTE;
  const connectionsInMemory = bytes * CONNECTION_MEMORY_SHARE /
    CONNECTION_BYTES;
  const socketDescriptors = Math.max(
    0,
    fileDescriptors - FILE_DESCRIPTOR_RESERVE,
  );
  const allowed = Math.min(
    connectionsInMemory,
    socketDescriptors * DESCRIPTOR_SHARE,
  );
  return {
    bytes: Math.floor(bytes),
    smallRequestBytes: Math.floor(bytes * SMALL_REQUEST_SHARE),
    connections: connections ?? Math.max(1, Math.floor(allowed)),
  };
}
