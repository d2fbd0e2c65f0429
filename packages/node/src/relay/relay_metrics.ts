import type { ClientAccount, Duration } from "@foxtailwind/core";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { AdmissionOutcome } from "./admission_record.ts";
import { AccountLabels } from "./accounts/account_labels.ts";
import type { ClientLimit } from "./clients/client_resources.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { RecordTopic, SkipReason } from "./shared_log.ts";
import type { WorkKind } from "./work_counts.ts";

/** Buckets of the latency histograms, from a lookup to a long stream. */
const LATENCY_BUCKETS_SECONDS = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.4,
  0.6,
  0.8,
  1,
  1.5,
  2,
  4,
  8,
  16,
];
const MILLISECONDS_PER_SECOND = 1_000;

/** Values that are read whenever the metrics are collected. */
export interface RelayGauges {
  readonly requestsInProgress: () => number;
  readonly clientConnections: () => number;
  readonly clientBytes: () => number;
  readonly configurationVersion: () => number;
  readonly enginesOwned: () => number;
  readonly nodesAlive: () => number;
  readonly nodesServing: () => number;
  /** 1 if this node places requests, 0 if it is on standby. */
  readonly isActive: () => number;
  readonly contentsRefused: () => number;
  readonly serversLimited: () => number;
  /** How old the node's registry of servers is, if it ever had the whole. */
  readonly registryAge: () => Duration | undefined;
  readonly work: () => ReadonlyMap<WorkKind, number>;
  /** The requests that wait for a place on an engine, by priority. */
  readonly waitingUses?: () => ReadonlyMap<number, number>;
}

/** The metrics of a relay in the Prometheus text format. */
export class RelayMetrics {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: "foxtailwind_requests_total",
    help: "Requests that ended, by service and outcome.",
    labelNames: ["service", "priority", "outcome"],
    registers: [this.#registry],
  });
  readonly #firstBytesSeconds = new Histogram({
    name: "foxtailwind_first_bytes_seconds",
    help: "From the last send to the first bytes of the answer.",
    labelNames: ["service", "priority"],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #requestSeconds = new Histogram({
    name: "foxtailwind_request_seconds",
    help: "From a request's arrival to the end of its answer.",
    labelNames: ["service", "priority"],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #accountRequests = new Counter({
    name: "foxtailwind_account_requests_total",
    help: "Requests with a known API key, by account and outcome.",
    labelNames: ["account", "outcome"],
    registers: [this.#registry],
  });
  readonly #refusedRequests = new Counter({
    name: "foxtailwind_requests_refused_total",
    help: "Requests refused before they were relayed, by reason.",
    labelNames: ["reason"],
    registers: [this.#registry],
  });
  readonly #clientLimits = new Counter({
    name: "foxtailwind_client_limits_total",
    help: "How often callers have reached a limit of the node, by limit.",
    labelNames: ["limit"],
    registers: [this.#registry],
  });
  readonly #accountLabels = new AccountLabels();
  readonly #skippedRecords = new Counter({
    name: "foxtailwind_records_skipped_total",
    help: "Records of the platform's log that can't be read, by reason.",
    labelNames: ["topic", "reason"],
    registers: [this.#registry],
  });

  readonly #admissions = new Counter({
    name: "foxtailwind_admissions_total",
    help: "Requests for places on this node's engines, by outcome.",
    labelNames: ["priority", "outcome"],
    registers: [this.#registry],
  });
  readonly #admissionSeconds = new Histogram({
    name: "foxtailwind_admission_seconds",
    help: "How long requests waited for adapters and places.",
    labelNames: ["priority"],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });

  /** @param gauges Values read whenever the metrics are collected. */
  constructor(gauges: RelayGauges) {
    this.#addGauge(
      "foxtailwind_requests_in_progress",
      "Requests in progress.",
      gauges.requestsInProgress,
    );
    this.#addGauge(
      "foxtailwind_client_connections",
      "Callers' open connections.",
      gauges.clientConnections,
    );
    this.#addGauge(
      "foxtailwind_client_memory_bytes",
      "Memory that is counted for callers.",
      gauges.clientBytes,
    );
    this.#addGauge(
      "foxtailwind_configuration_version",
      "The configuration in force.",
      gauges.configurationVersion,
    );
    this.#addGauge(
      "foxtailwind_engines_owned",
      "Engines that this node may order.",
      gauges.enginesOwned,
    );
    this.#addGauge(
      "foxtailwind_nodes_alive",
      "Other nodes heard of lately.",
      gauges.nodesAlive,
    );
    this.#addGauge(
      "foxtailwind_nodes_serving",
      "Nodes that take callers and own engines, this one included.",
      gauges.nodesServing,
    );
    this.#addGauge(
      "foxtailwind_active",
      "Whether this node places requests, and does not stand by.",
      gauges.isActive,
    );
    this.#addGauge(
      "foxtailwind_contents_refused",
      "Contents of requests that are refused since they crash servers.",
      gauges.contentsRefused,
    );
    this.#addGauge(
      "foxtailwind_servers_limited",
      "Servers that name a limit of requests a second.",
      gauges.serversLimited,
    );
    this.#addGauge(
      "foxtailwind_registry_age_seconds",
      "Since the node certainly had the whole registry of servers; -1 if never.",
      () => {
        const age = gauges.registryAge();
        return age === undefined ? -1 : age / MILLISECONDS_PER_SECOND;
      },
    );
    this.#addWorkCounter(gauges.work);
    if (gauges.waitingUses !== undefined) {
      this.#addWaitingGauge(gauges.waitingUses);
    }
  }

  /**
   * Counts a request that has ended.
   * @param request Its route and account.
   * @param outcome The outcome.
   * @param took The time from its arrival to its end.
   * @param firstAfter The time from the last send to the first bytes, if any.
   */
  recordRequest(
    { route, account }: Pick<RoutedRequest, "route" | "account">,
    outcome: string,
    took: Duration,
    firstAfter: Duration | undefined,
  ): void {
    const service = route.targets[0]?.service ?? "";
    const priority = String(route.priority);
    this.#requests.inc({ service, priority, outcome });
    this.#countAccount(account, outcome);
    this.#requestSeconds.observe(
      { service, priority },
      took / MILLISECONDS_PER_SECOND,
    );
    if (firstAfter === undefined) return;
    this.#firstBytesSeconds.observe(
      { service, priority },
      firstAfter / MILLISECONDS_PER_SECOND,
    );
  }

  /**
   * Counts a request that was refused before it was relayed.
   * @param reason The reason.
   * @param account Its account, if known.
   */
  recordRefusal(reason: string, account: ClientAccount | undefined): void {
    this.#refusedRequests.inc({ reason });
    this.#countAccount(account, reason);
  }

  /**
   * Counts a limit that callers have reached.
   * @param limit The limit.
   */
  recordClientLimit(limit: ClientLimit): void {
    this.#clientLimits.inc({ limit });
  }

  /**
   * Counts a request for a place on one of this node's engines.
   * @param priority The priority of its class.
   * @param outcome How it ended.
   * @param waited How long it waited.
   */
  recordAdmission(
    priority: number,
    outcome: AdmissionOutcome,
    waited: Duration,
  ): void {
    const labels = { priority: String(priority) };
    this.#admissions.inc({ ...labels, outcome });
    if (outcome === "no_place" || outcome === "late") return;
    this.#admissionSeconds.observe(labels, waited / MILLISECONDS_PER_SECOND);
  }

  /**
   * Counts a record that was skipped.
   * @param topic The topic of the record.
   * @param reason Why it can't be used.
   */
  recordSkipped(topic: RecordTopic, reason: SkipReason): void {
    this.#skippedRecords.inc({ topic, reason });
  }

  /**
   * Collects all metrics.
   * @returns The metrics in the Prometheus text format.
   */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  #countAccount(account: ClientAccount | undefined, outcome: string): void {
    if (account === undefined) return;
    this.#accountRequests.inc({
      account: this.#accountLabels.labelOf(account.id),
      outcome,
    });
  }

  #addWorkCounter(read: RelayGauges["work"]): void {
    new Counter({
      name: "foxtailwind_work_total",
      help: "What the node does beside relaying requests, by kind.",
      labelNames: ["kind"],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [kind, count] of read()) this.inc({ kind }, count);
      },
    });
  }

  #addWaitingGauge(
    read: NonNullable<RelayGauges["waitingUses"]>,
  ): void {
    new Gauge({
      name: "foxtailwind_admissions_waiting",
      help: "Requests that wait for places on this node's engines.",
      labelNames: ["priority"],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [priority, count] of read()) {
          this.set({ priority: String(priority) }, count);
        }
      },
    });
  }

  #addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
  }
}
