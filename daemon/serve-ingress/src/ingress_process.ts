/**
 * The entry process on the platform: watches configuration and targets in the
 * store, serves callers' requests, and answers which entries callers may use
 * (the directory). Entries send each other their status, among it how many
 * streams each of them runs and which requests it suspects of crashing targets.
 *
 * `platform-node` runs this process. The daemon `dandelionbankd` has an entry of
 * its own, `serve-entry`, in front of a platform with another object API.
 */

import {
  createDirectoryListener,
  createReadinessListener,
} from "@dandelionbank/serve-directory";
import { ByteBudget } from "@dandelionbank/collect-bytes";
import { createRetryBudget } from "@dandelionbank/budget-retries";
import { StatusExchange } from "@dandelionbank/exchange-status";
import {
  type EntryStatus,
  sumActiveRequests,
} from "@dandelionbank/track-entries";
import {
  BodyIntake,
  type ForwardContext,
  Forwarder,
  ForwardMetrics,
  type GroupLoad,
  logNoticeChange,
  StreamAdmission,
  TargetPools,
} from "@dandelionbank/forward-requests";
import { createTextHash } from "@dandelionbank/hash-text";
import {
  type ActiveConfiguration,
  areKeysRequired,
  createActiveConfiguration,
  mayUseKeys,
} from "@dandelionbank/track-configuration";
import { HttpListener } from "@dandelionbank/listen-http";
import type { Logger } from "@dandelionbank/log-events";
import type { Registry } from "@dandelionbank/metrics";
import { createPlacementState } from "@dandelionbank/pick-target";
import {
  type BootSettings,
  KINDS,
  type SocketAddress,
  StoreClient,
} from "@dandelionbank/platform-adapter";
import { TrackedNotices } from "@dandelionbank/track-notices";
import { createProgressTracker } from "@dandelionbank/track-progress";
import { readInstant } from "@dandelionbank/read-instant";
import type { IngressConfiguration } from "@dandelionbank/types";
import { KindWatcher } from "@dandelionbank/watch-kind";
import { CrashMetrics, CrashMonitor } from "@dandelionbank/watch-suspects";
import type { RequestListener } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { ConfigurationView } from "./configuration_view.ts";
import { QuarantinedPartsStore } from "./quarantined_parts_store.ts";
import { registerEntry } from "./register_entry.ts";
import { createStopSchedule } from "./stop_schedule.ts";
import { TargetView } from "./target_view.ts";

/** Duration of one watch call, as a fraction of the bound on key revocation. */
const WATCH_WAIT_FRACTION = 0.3;
/**
 * Interval at which targets are expired, and waiting streams and bodies
 * reconsidered.
 */
const REFRESH_INTERVAL_MS = 50;
/** How long callers may cache the directory's answer. */
const DIRECTORY_TTL_MS = 2_000;
/** Idle connections are kept longer than the limit that callers assume. */
const IDLE_TIMEOUT_FACTOR = 2;
/** Interval of checks whether all answers were sent. */
const STOP_POLL_MS = 50;
/**
 * Part of the process's memory for the bodies of requests. Released bodies that
 * are not collected yet may take as much again, and half remains for the runtime
 * and its heap, which are outside this budget.
 */
const BODY_MEMORY_FRACTION = 0.25;
/** Part of the process's memory for answers that are kept, in the same way. */
const ANSWER_MEMORY_FRACTION = 0.0625;
/** Memory of a process whose settings state none. */
const DEFAULT_MEMORY_BYTES = 256_000_000;

export interface IngressOptions {
  readonly settings: BootSettings;
  readonly logger: Logger;
  readonly registry: Registry;
}

interface ListenAddresses {
  readonly callers: SocketAddress;
  readonly readiness: SocketAddress;
  readonly directory: SocketAddress | undefined;
}

export class IngressProcess {
  readonly #options: IngressOptions;
  readonly #addresses: ListenAddresses;
  readonly #configuration: ActiveConfiguration;
  readonly #watchWaitMs: number;
  readonly #client: StoreClient;
  readonly #forwarder: Forwarder;
  readonly #admission: StreamAdmission;
  readonly #bodies: BodyIntake;
  readonly #targets: TargetView;
  readonly #notices: TrackedNotices;
  readonly #exchange: StatusExchange;
  readonly #crashMonitor: CrashMonitor;
  readonly #quarantinedParts: QuarantinedPartsStore;
  readonly #callerServer: HttpListener;
  readonly #servers: HttpListener[] = [];
  readonly #watchers: KindWatcher[] = [];
  #refreshTimer: NodeJS.Timeout | undefined;
  #isStopping = false;
  #isStopped = false;
  #stopPromise: Promise<void> | undefined;
  #otherEntries: readonly EntryStatus[] = [];

  private constructor(
    options: IngressOptions,
    { addresses, hash }: {
      readonly addresses: ListenAddresses;
      readonly hash: (text: string) => number;
    },
  ) {
    const { settings, logger, registry } = options;
    const { bounds } = settings;
    this.#options = options;
    this.#addresses = addresses;
    this.#watchWaitMs = Math.round(bounds.revocationMs * WATCH_WAIT_FRACTION);
    this.#configuration = createActiveConfiguration({
      bounds: {
        ...bounds,
        watchWaitMs: this.#watchWaitMs,
        rewriteMs: bounds.targetReregistrationMs,
      },
      requiresKeys: settings.requiresKeys,
    });
    this.#client = StoreClient.create(formatAddress(settings.store), {
      onInvalidEra: (era) => logger.log("storeEraInvalid", { era }),
    });
    this.#notices = TrackedNotices.create({ entry: settings.name, hash });
    const placement = createPlacementState({
      entry: settings.name,
      random: Math.random,
      hash,
      limits: this.#notices,
    });
    const pools = TargetPools.create();
    const progress = createProgressTracker();
    this.#quarantinedParts = QuarantinedPartsStore.create({
      client: this.#client,
      isStopped: () => this.#isStopped,
    });
    this.#crashMonitor = CrashMonitor.create({
      logger,
      entry: settings.name,
      metrics: CrashMetrics.create(registry),
      readNowMs: () => performance.now(),
      onCulprit: (part) => void this.#quarantinedParts.save(part),
      onPartQuarantined: () => this.#forwarder.endQuarantined(),
    });
    this.#targets = TargetView.create({
      reregistrationMs: bounds.targetReregistrationMs,
      isServed: (service) => this.#isServed(service),
      placement,
      notices: this.#notices,
      pools,
      progress,
      logger,
      onTargetLost: (run, reason) =>
        this.#crashMonitor.recordTargetDown(
          run,
          reason === "removed" ? "removed from the store" : "started anew",
        ),
    });
    this.#admission = StreamAdmission.create({
      readLoad: (service, runMs) => this.#readLoad(service, runMs),
    });
    const memoryBytes = settings.memoryBytes ?? DEFAULT_MEMORY_BYTES;
    this.#bodies = BodyIntake.create({
      logger,
      registry,
      totalBytes: memoryBytes * BODY_MEMORY_FRACTION,
    });
    const answerMemory = ByteBudget.create(
      memoryBytes * ANSWER_MEMORY_FRACTION,
    );
    const context: ForwardContext = {
      logger,
      metrics: ForwardMetrics.create({
        registry,
        countNotices: () => this.#notices.countByKind(performance.now()),
        meter: pools.meter,
        answerMemory,
      }),
      answerMemory,
      bodies: this.#bodies,
      configuration: this.#configuration,
      placement,
      notices: this.#notices,
      pools,
      admission: this.#admission,
      retryBudget: createRetryBudget({
        ratio: bounds.retryRatio,
        windowMs: bounds.retryWindowMs,
        slack: bounds.retrySlack,
      }),
      progress,
      crashMonitor: this.#crashMonitor,
      stallMs: bounds.stallMs,
      findTarget: (run) => this.#targets.findTarget(run),
      reportMisdirected: (run) => this.#targets.markMisdirected(run),
      countEntries: () => this.#otherEntries.length + 1,
      isStopping: () => this.#isStopping,
    };
    this.#forwarder = Forwarder.create(context);
    this.#exchange = StatusExchange.create({
      host: settings.ip,
      port: settings.peerPort,
      logger,
      readStatus: () => this.#readStatus(),
      onStatus: (status) => this.#applyStatus(status),
      onUpdate: (otherEntries) => this.#applyLiveEntries(otherEntries),
    });
    this.#callerServer = this.#createServer(
      addresses.callers,
      (request, response) => this.#forwarder.handle(request, response),
    );
  }

  static async create(options: IngressOptions): Promise<IngressProcess> {
    const { callers, readiness, directory } = options.settings;
    if (callers === undefined || readiness === undefined) {
      throw new Error(
        "The settings `listen.frontend` and `listen.ready` are required for the role entry",
      );
    }
    return new IngressProcess(options, {
      addresses: { callers, readiness, directory },
      hash: await createTextHash(),
    });
  }

  async start(): Promise<void> {
    const { settings, logger } = this.#options;
    const { readiness, directory, callers } = this.#addresses;
    this.#createServer(readiness, createReadinessListener(() => this.#isReady));
    if (directory !== undefined) {
      this.#createServer(
        directory,
        createDirectoryListener({
          listEntries: () => [this.#readStatus(), ...this.#otherEntries],
          ttlMs: Math.min(DIRECTORY_TTL_MS, settings.bounds.directoryTtlMs),
        }),
      );
    }
    this.#startWatching();
    await Promise.all(this.#servers.map((server) => server.listen()));
    logger.log("ingressStarted", {
      name: settings.name,
      address: formatAddress(callers),
      readiness: formatAddress(readiness),
    });
    this.#refreshTimer = setInterval(
      () => this.#refresh(),
      REFRESH_INTERVAL_MS,
    );
    void this.#register();
    void this.#adoptStoredQuarantines();
  }

  /**
   * Stops the process: leaves the directory at once, and serves new requests
   * while callers may still use cached directory answers, as far as there is
   * time for them.
   */
  stop(): Promise<void> {
    this.#stopPromise ??= this.#stop();
    return this.#stopPromise;
  }

  async #stop(): Promise<void> {
    const { graceMs } = this.#options.settings.bounds;
    const startedMs = performance.now();
    const schedule = createStopSchedule({
      graceMs,
      directoryTtlMs: DIRECTORY_TTL_MS,
    });
    const cutAtMs = startedMs + schedule.cutMs;
    this.#isStopping = true;
    this.#forwarder.refuseLongRequests(startedMs + schedule.endMs);
    this.#exchange.broadcast();
    await delay(schedule.acceptMs);
    this.#forwarder.refuseNewRequests();
    while (
      this.#callerServer.openAnswerCount > 0 && performance.now() < cutAtMs
    ) {
      await delay(STOP_POLL_MS);
    }
    this.#forwarder.endRequests();
    this.#isStopped = true;
    clearInterval(this.#refreshTimer);
    for (const watcher of this.#watchers) watcher.stop();
    this.#exchange.stop();
    const closed = Promise.all(this.#servers.map((server) => server.close()));
    await Promise.race([closed, delay(schedule.closeMs)]);
  }

  #createServer(address: SocketAddress, listener: RequestListener) {
    const server = HttpListener.create({
      ...address,
      listener,
      onError: (error, { method, url }) =>
        this.#logError(`request ${method} ${url}`, error),
    });
    this.#servers.push(server);
    return server;
  }

  #refresh(): void {
    try {
      this.#targets.expireTargets();
      this.#admission.updateLoads();
      this.#bodies.expire();
    } catch (error) {
      this.#logError("refresh of targets, admission and bodies", error);
    }
  }

  #logError(operation: string, error: unknown): void {
    const detail = String(error);
    this.#options.logger.log("unexpectedError", { operation, detail });
  }

  get #isReady(): boolean {
    return this.#configuration.table !== undefined && !this.#isStopping;
  }

  /** True if keys may be used, or if no route needs one. */
  get #mayUseKeys(): boolean {
    return !areKeysRequired(this.#configuration) ||
      mayUseKeys(this.#configuration, readInstant());
  }

  #startWatching(): void {
    const { logger } = this.#options;
    const waitMs = this.#watchWaitMs;
    const configuration = ConfigurationView.create({
      active: this.#configuration,
      logger,
      onApplied: (applied) => this.#applyLimits(applied),
      onRestored: () => void this.#restoreOwnObjects(),
    });
    const shared = { client: this.#client, waitMs, logger };
    this.#watchers.push(
      KindWatcher.create({
        ...shared,
        kind: KINDS.configuration,
        onEvent: (event) => configuration.handleEvent(event),
      }),
      KindWatcher.create({
        ...shared,
        kind: KINDS.targets,
        onEvent: (event) => this.#targets.handleEvent(event),
      }),
    );
  }

  async #register(): Promise<void> {
    const { settings, logger } = this.#options;
    const addresses = await registerEntry(this.#client, {
      name: settings.name,
      peerAddress: this.#peerAddress,
      isStopped: () => this.#isStopped,
    });
    for (const address of addresses) this.#exchange.addAddress(address);
    this.#exchange.broadcast();
    const others = addresses.length - 1;
    logger.log("entryRegistered", { entry: settings.name, others });
  }

  /** Writes again what a store that was restored from a copy may lack. */
  async #restoreOwnObjects(): Promise<void> {
    await this.#register();
    for (const part of this.#crashMonitor.listQuarantinedParts()) {
      await this.#quarantinedParts.save(part);
    }
  }

  async #adoptStoredQuarantines(): Promise<void> {
    const quarantined = await this.#quarantinedParts.load();
    this.#crashMonitor.adoptQuarantinedParts(quarantined, "the store");
  }

  #isServed(service: string): boolean {
    const configuration = this.#configuration.table?.configuration;
    return configuration?.services.has(service) ?? true;
  }

  #applyLimits({ limits }: IngressConfiguration): void {
    this.#callerServer.setKeepAliveTimeout(
      limits.idleTimeoutMs * IDLE_TIMEOUT_FACTOR,
    );
  }

  #readLoad(service: string, runMs: number): GroupLoad {
    const { slots, opensInMs } = this.#targets.readGroupCapacity(
      service,
      runMs,
    );
    return {
      capacity: slots,
      opensInMs,
      activeFromOtherEntries: sumActiveRequests(this.#otherEntries, service),
      entryCount: this.#otherEntries.length + 1,
    };
  }

  /** Applies what another entry has observed of its targets. */
  #applyStatus(status: EntryStatus): void {
    const { name, targetLimits, leavingTargets } = status;
    this.#crashMonitor.applyReport(name, status);
    const changes = this.#notices.applyReports(
      { limits: targetLimits, leaving: leavingTargets },
      performance.now(),
    );
    for (const change of changes) logNoticeChange(this.#options.logger, change);
  }

  #applyLiveEntries(otherEntries: readonly EntryStatus[]): void {
    this.#otherEntries = otherEntries;
    const names = otherEntries.map(({ name }) => name);
    this.#notices.setOtherEntries(names, performance.now());
    this.#crashMonitor.tick();
  }

  #readStatus(): EntryStatus {
    const { settings } = this.#options;
    const { limits, leaving } = this.#notices.listReports(performance.now());
    return {
      name: settings.name,
      callersAddress: formatAddress(this.#addresses.callers),
      peerAddress: this.#peerAddress,
      dataCentre: settings.dataCentre,
      takesCallers: this.#isReady,
      mayUseKeys: this.#mayUseKeys,
      activeByService: this.#admission.countActive(),
      ...this.#crashMonitor.pendingReport,
      targetLimits: limits,
      leavingTargets: leaving,
    };
  }

  get #peerAddress(): string {
    const { ip, peerPort } = this.#options.settings;
    return formatAddress({ host: ip, port: peerPort });
  }
}

function formatAddress({ host, port }: SocketAddress): string {
  return `${host}:${port}`;
}
