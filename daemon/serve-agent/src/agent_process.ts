/**
 * The agent process, the only one that calls its target. On start it listens,
 * then registers, then reads the closings of entry incarnations. An entry that
 * closes an incarnation lists the agents after it wrote the closing. So either the
 * agent reads the closing or the entry finds the agent's registration.
 *
 * `dandelionbankd` runs this process; `serve-rank` is the agent that
 * `platform-node` runs.
 */

import { PlatformClient } from "@dandelionbank/call-platform";
import {
  createTargetAdapter,
  type TargetAdapter,
} from "@dandelionbank/call-target";
import { TlsMaterial } from "@dandelionbank/load-tls";
import type { Logger } from "@dandelionbank/log-events";
import { type Registry } from "@dandelionbank/metrics";
import { createAgentRouter } from "@dandelionbank/peer-api";
import {
  type AgentSettings,
  createTarget,
  deriveUrl,
} from "@dandelionbank/read-settings";
import { ProcessRegistration } from "@dandelionbank/register-process";
import { AttemptMetrics, AttemptTask } from "@dandelionbank/run-attempts";
import { ObservabilityServer } from "@dandelionbank/serve-observability";
import { PeerServer } from "@dandelionbank/serve-peers";
import type {
  AgentRegistration,
  AgentStatus,
  AgentView,
} from "@dandelionbank/types";
import { randomUUID } from "node:crypto";

const KEPT_ANSWERS_LIMIT_BYTES = 8 * 1024 * 1024;
/**
 * How long attempts that need not be remembered for their key are kept after
 * their end, and how long an idempotent call without a key runs without a listener.
 */
const LINGER_MS = 10_000;
const REFUSAL_RETRY_MS = 100;
const CLOSINGS_RETRY_MS = 500;
/** Longest wait for attempts in flight until an entry has sent its view. */
const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;

/**
 * Time for entries to follow the agent's withdrawal, which the platform tells them.
 * Until then it refuses their attempts: one that meets a closed connection would
 * count as lost.
 */
const WITHDRAWAL_MS = 500;

export interface AgentProcessOptions {
  readonly settings: AgentSettings;
  readonly logger: Logger;
  readonly registry: Registry;
}

interface AgentDependencies {
  readonly options: AgentProcessOptions;
  readonly incarnation: string;
  readonly store: PlatformClient;
  readonly adapter: TargetAdapter;
  readonly task: AttemptTask;
}

export class AgentProcess {
  readonly #dependencies: AgentDependencies;
  #peers: PeerServer | undefined;
  #observability: ObservabilityServer | undefined;
  #registration: ProcessRegistration | undefined;
  #drainTimeoutMs = DEFAULT_DRAIN_TIMEOUT_MS;
  #isAdmissionOpen = false;
  #isStopping = false;

  private constructor(dependencies: AgentDependencies) {
    this.#dependencies = dependencies;
  }

  static create(options: AgentProcessOptions): AgentProcess {
    const { settings, logger, registry } = options;
    const incarnation = randomUUID();
    const store = PlatformClient.create({
      platformUrl: settings.platformUrl,
      ...(settings.platformToken === undefined
        ? {}
        : { token: settings.platformToken }),
      timeoutMs: settings.platformTimeoutMs,
      logger,
    });
    const adapter = createTargetAdapter(settings.targetKind, {
      targetUrl: settings.targetUrl,
    });
    const task = AttemptTask.create({
      admission: {
        incarnation,
        maxInFlight: settings.maxInFlight,
        maxKeys: settings.keyTableEntries,
        maxKeptBytes: KEPT_ANSWERS_LIMIT_BYTES,
        keyRetentionMs: settings.keyRetentionMs,
        lingerMs: LINGER_MS,
        retryAfterMs: REFUSAL_RETRY_MS,
      },
      adapter,
      logger,
      metrics: AttemptMetrics.create(registry),
      readNowMs: () => performance.now(),
    });
    return new AgentProcess({ options, incarnation, store, adapter, task });
  }

  /** Resolves when the agent listens; it admits attempts once it is registered. */
  async start(): Promise<void> {
    const { settings, registry } = this.#dependencies.options;
    this.#observability = await ObservabilityServer.create({
      ...settings.observeListen,
      registry,
      readReadiness: () => this.#readReadiness(),
    });
    const peerUrl = await this.#listen();
    void this.#registerAndOpen(peerUrl);
  }

  /** Refuses new attempts, waits for those in flight, and stops all tasks. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    const { task, options, store, adapter } = this.#dependencies;
    const startedMs = performance.now();
    const isDrained = await Promise.race([
      task.drain("terminationSignal").then(() => true),
      wait(this.#drainTimeoutMs).then(() => false),
    ]);
    const target = options.settings.name;
    if (isDrained) {
      const elapsedMs = Math.round(performance.now() - startedMs);
      options.logger.log("targetDrained", { target, elapsedMs });
    } else {
      const { inFlight } = task.readLoad();
      options.logger.log("targetCut", { target, inFlight });
    }
    await this.#registration?.withdraw();
    await wait(WITHDRAWAL_MS);
    await this.#peers?.close();
    await this.#observability?.close();
    task.stop();
    await adapter.close();
    await store.close();
  }

  async #listen(): Promise<string> {
    const { settings, logger } = this.#dependencies.options;
    const { peerTls, peerListen } = settings;
    const tls = peerTls === undefined
      ? undefined
      : await TlsMaterial.create({ source: peerTls, logger });
    this.#peers = PeerServer.create({
      ...peerListen,
      peerSecret: settings.peerSecret,
      router: createAgentRouter({
        applyView: (view) => this.#applyView(view),
        readStatus: () => this.#readStatus(),
        askKeys: (incarnations) =>
          this.#dependencies.task.askKeys(incarnations),
      }),
      onAttempt: (request, responder) =>
        this.#dependencies.task.handleMessage(request, responder),
      ...(tls === undefined ? {} : { tls }),
    });
    const port = await this.#peers.listen();
    return settings.peerUrl ??
      deriveUrl({ host: peerListen.host, port, isTls: tls !== undefined });
  }

  async #registerAndOpen(peerUrl: string): Promise<void> {
    const { options, incarnation, store, task } = this.#dependencies;
    const { settings, logger } = options;
    const value: AgentRegistration = {
      target: createTarget(settings),
      incarnation,
      peerUrl,
    };
    this.#registration = ProcessRegistration.create({
      store,
      kind: "agent",
      name: settings.name,
      value,
      logger,
    });
    await this.#registration.write();
    const closed = await this.#readClosings();
    if (this.#isStopping) return;
    task.openAdmission(closed);
    this.#isAdmissionOpen = true;
    logger.log("admissionOpened", { target: settings.name, incarnation });
  }

  /** Reads the incarnations that are closed, after which closings are named. */
  async #readClosings(): Promise<readonly string[]> {
    const { options, store } = this.#dependencies;
    while (!this.#isStopping) {
      try {
        const { items } = await store.list("closing");
        return items.map(({ name }) => name);
      } catch (error) {
        const message = (error as Error).message;
        options.logger.log("admissionWaits", { message });
        await wait(CLOSINGS_RETRY_MS);
      }
    }
    return [];
  }

  #applyView(view: AgentView): AgentStatus {
    this.#drainTimeoutMs = view.drainTimeoutMs;
    this.#dependencies.task.applyView(view);
    return this.#readStatus();
  }

  #readStatus(): AgentStatus {
    const { task, options, incarnation } = this.#dependencies;
    return {
      target: createTarget(options.settings),
      incarnation,
      viewRevision: task.viewRevision,
      isDraining: task.isDraining,
      load: task.readLoad(),
    };
  }

  #readReadiness(): {
    readonly isReady: boolean;
    readonly reasons: readonly string[];
  } {
    const reasons: string[] = [];
    if (!this.#isAdmissionOpen) reasons.push("Not registered yet");
    if (this.#dependencies.task.isDraining) reasons.push("Draining");
    return { isReady: reasons.length === 0, reasons };
  }
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs).unref());
}
