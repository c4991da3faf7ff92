/**
 * An entry on the platform: follows configuration and targets in the store,
 * takes requests of callers, and tells callers which entries to use.
 */

import {
  createDirectoryListener,
  createReadinessListener,
} from "@dandelionbank/answer-directory";
import { createRetryBudget } from "@dandelionbank/budget-retries";
import { StatusExchange } from "@dandelionbank/exchange-status";
import {
  type EntryStatus,
  sumActiveRequests,
} from "@dandelionbank/follow-entries";
import {
  type ForwardContext,
  Forwarder,
  ForwardMetrics,
  type GroupLoad,
  StreamGate,
  TargetPools,
} from "@dandelionbank/forward-requests";
import { createTextHash } from "@dandelionbank/hash-text";
import {
  type ActiveConfiguration,
  createActiveConfiguration,
  mayUseKeys,
} from "@dandelionbank/hold-configuration";
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
import { createProgressTracker } from "@dandelionbank/follow-progress";
import { readInstant } from "@dandelionbank/read-instant";
import type { IngressConfiguration } from "@dandelionbank/types";
import { KindWatcher } from "@dandelionbank/watch-kind";
import { CrashWatch } from "@dandelionbank/watch-suspects";
import type { RequestListener } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { ConfigurationView } from "./configuration_view.ts";
import { registerEntry } from "./register_entry.ts";
import { TargetView } from "./target_view.ts";

/** Part of the bound on revocations that one wait for a change may take. */
const WATCH_WAIT_PART = 0.3;
const REFRESH_INTERVAL_MS = 50;
/** How long callers may keep the directory's answer. */
const DIRECTORY_TTL_MS = 2_000;
/** Callers may keep an answer three times as long as told. */
const DIRECTORY_TTL_FACTOR = 3;
/** Idle connections outlive what callers believe their limit is. */
const IDLE_FACTOR = 2;
/** Kept back from the time for a stop, to end what is left in order. */
const STOP_MARGIN_MS = 600;
const STOP_POLL_MS = 50;
/** Part of the time for a stop in which new requests are still served. */
const STOP_SERVE_PART = 0.5;

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
  readonly #held: ActiveConfiguration;
  readonly #watchWaitMs: number;
  readonly #client: StoreClient;
  readonly #forwarder: Forwarder;
  readonly #gate: StreamGate;
  readonly #targets: TargetView;
  readonly #exchange: StatusExchange;
  readonly #crashes: CrashWatch;
  readonly #callerServer: HttpListener;
  readonly #servers: HttpListener[] = [];
  readonly #watchers: KindWatcher[] = [];
  #refreshTimer: NodeJS.Timeout | undefined;
  #isLeaving = false;
  #isStopped = false;
  #stopped: Promise<void> | undefined;
  #others: readonly EntryStatus[] = [];

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
    this.#watchWaitMs = Math.round(bounds.revocationMs * WATCH_WAIT_PART);
    this.#held = createActiveConfiguration({
      ...bounds,
      watchWaitMs: this.#watchWaitMs,
    });
    this.#client = StoreClient.create(formatAddress(settings.store));
    const placement = createPlacementState({
      entry: settings.name,
      random: Math.random,
      hash,
    });
    const pools = TargetPools.create();
    const progress = createProgressTracker();
    this.#crashes = CrashWatch.create({
      logger,
      readNowMs: () => performance.now(),
    });
    this.#targets = TargetView.create({
      reregistrationMs: bounds.targetReturnMs,
      placement,
      pools,
      progress,
      logger,
      onEnded: (id) => this.#crashes.noteTargetDown(id),
    });
    this.#gate = StreamGate.create({
      readLoad: (service) => this.#readLoad(service),
    });
    const context: ForwardContext = {
      logger,
      metrics: ForwardMetrics.create(registry),
      held: this.#held,
      placement,
      pools,
      gate: this.#gate,
      budget: createRetryBudget({
        ratio: bounds.retryRatio,
        windowMs: bounds.retryWindowMs,
        slack: bounds.retrySlack,
      }),
      progress,
      crashes: this.#crashes,
      stallMs: bounds.stallMs,
      findTarget: (id) => this.#targets.find(id),
      noteMisdirected: (id) => this.#targets.noteMisdirected(id),
      hasOtherTarget: (service, tried) =>
        this.#targets.hasOther(service, tried),
      countEntries: () => this.#others.length + 1,
      isLeaving: () => this.#isLeaving,
    };
    this.#forwarder = Forwarder.create(context);
    this.#exchange = StatusExchange.create({
      host: settings.ip,
      port: settings.peerPort,
      logger,
      readStatus: () => this.#readStatus(),
      onRound: (others) => {
        this.#others = others;
        for (const { suspects } of others) this.#crashes.takeTold(suspects);
        this.#crashes.tick();
      },
    });
    this.#callerServer = this.#createServer(
      addresses.callers,
      (request, response) => this.#forwarder.handle(request, response),
    );
  }

  static async create(options: IngressOptions): Promise<IngressProcess> {
    const { callers, readiness, directory } = options.settings;
    if (callers === undefined || readiness === undefined) {
      throw new Error("The role has no address for callers or readiness");
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
          listEntries: () => [this.#readStatus(), ...this.#others],
          ttlMs: Math.min(DIRECTORY_TTL_MS, settings.bounds.directoryTtlMs),
        }),
      );
    }
    this.#watch();
    await Promise.all(this.#servers.map((server) => server.listen()));
    logger.log("ingressStarted", {
      name: settings.name,
      address: formatAddress(callers),
      readiness: formatAddress(readiness),
    });
    this.#refreshTimer = setInterval(() => {
      this.#targets.refresh();
      this.#gate.refresh();
    }, REFRESH_INTERVAL_MS);
    void this.#register();
  }

  /** Leaves the directory at once and serves what still comes for a while. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const { graceMs } = this.#options.settings.bounds;
    const startedMs = performance.now();
    const elapsedMs = () => performance.now() - startedMs;
    this.#isLeaving = true;
    this.#exchange.tell();
    const keptMs = DIRECTORY_TTL_MS * DIRECTORY_TTL_FACTOR;
    const serveMs = Math.min(keptMs, graceMs * STOP_SERVE_PART);
    await delay(serveMs);
    this.#forwarder.refuseNew();
    const limitMs = graceMs - STOP_MARGIN_MS;
    while (this.#forwarder.activeCount > 0 && elapsedMs() < limitMs) {
      await delay(STOP_POLL_MS);
    }
    this.#forwarder.handOver();
    this.#isStopped = true;
    clearInterval(this.#refreshTimer);
    for (const watcher of this.#watchers) watcher.stop();
    this.#exchange.stop();
    const closed = Promise.all(this.#servers.map((server) => server.close()));
    await Promise.race([closed, delay(STOP_MARGIN_MS / 2)]);
  }

  #createServer(address: SocketAddress, listener: RequestListener) {
    const server = HttpListener.create({ ...address, listener });
    this.#servers.push(server);
    return server;
  }

  get #isReady(): boolean {
    return this.#held.table !== undefined && !this.#isLeaving;
  }

  /** True also where no route needs one. */
  get #mayUseKeys(): boolean {
    const isNeeded = this.#held.table?.configuration.usesKeys ?? false;
    return !isNeeded || mayUseKeys(this.#held, readInstant());
  }

  #watch(): void {
    const { logger } = this.#options;
    const waitMs = this.#watchWaitMs;
    const configuration = ConfigurationView.create({
      held: this.#held,
      logger,
      onApplied: (applied) => this.#applyLimits(applied),
    });
    const shared = { client: this.#client, waitMs, logger };
    this.#watchers.push(
      KindWatcher.create({
        ...shared,
        kind: KINDS.configuration,
        onEvent: (event) => configuration.take(event),
      }),
      KindWatcher.create({
        ...shared,
        kind: KINDS.targets,
        onEvent: (event) => this.#targets.take(event),
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
    this.#exchange.tell();
    const others = addresses.length - 1;
    logger.log("entryRegistered", { entry: settings.name, others });
  }

  #applyLimits({ limits }: IngressConfiguration): void {
    this.#callerServer.setKeepAliveTimeout(limits.idleTimeoutMs * IDLE_FACTOR);
  }

  #readLoad(service: string): GroupLoad {
    return {
      capacity: this.#targets.countSlots(service),
      activeFromOtherEntries: sumActiveRequests(this.#others, service),
      entryCount: this.#others.length + 1,
    };
  }

  #readStatus(): EntryStatus {
    const { settings } = this.#options;
    return {
      name: settings.name,
      callersAddress: formatAddress(this.#addresses.callers),
      peerAddress: this.#peerAddress,
      dataCentre: settings.dataCentre,
      takesCallers: this.#isReady,
      mayUseKeys: this.#mayUseKeys,
      activeByService: this.#gate.countActive(),
      suspects: this.#crashes.told,
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
