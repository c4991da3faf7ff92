/**
 * The entry process, which accepts callers' requests and routes them to agents.
 * Creates and connects the entry's tasks, starts them, and stops them in order.
 *
 * `dandelionbankd` runs this process; `serve-ingress` is the entry that
 * `platform-node` runs.
 */

import { PlatformClient } from "@dandelionbank/call-platform";
import { findOrganisationByKey } from "@dandelionbank/check-credential";
import {
  AgentFollower,
  EntryFollower,
  MemberTask,
  type PeerAccess,
} from "@dandelionbank/follow-peers";
import { createTextHash, type TextHash } from "@dandelionbank/hash-text";
import { ViewKeeper } from "@dandelionbank/keep-view";
import { createConnector, TlsMaterial } from "@dandelionbank/load-tls";
import type { Logger } from "@dandelionbank/log-events";
import type { Registry } from "@dandelionbank/metrics";
import { createOperatorHandler } from "@dandelionbank/operator-api";
import { createEntryRouter } from "@dandelionbank/peer-api";
import { deriveUrl, type EntrySettings } from "@dandelionbank/read-settings";
import { ProcessRegistration } from "@dandelionbank/register-process";
import {
  RequestMetrics,
  RequestTask,
  TicketSigner,
} from "@dandelionbank/route-requests";
import {
  type AddressAnswer,
  type CallerHandlers,
  CallerServer,
} from "@dandelionbank/serve-callers";
import { ObservabilityServer } from "@dandelionbank/serve-observability";
import {
  type AttemptRequest,
  type AttemptResponder,
  PeerServer,
} from "@dandelionbank/serve-peers";
import { TakeOverTask } from "@dandelionbank/take-over-entries";
import type {
  Contract,
  EntryRegistration,
  StatusReport,
  TlsSource,
} from "@dandelionbank/types";
import { randomUUID } from "node:crypto";
import { ArbiterLease } from "./arbiter_lease.ts";
import { createStatusReport } from "./status_report.ts";

const PEER_TIMEOUT_MS = 1_000;
/** How long an entry may rely on a check that its incarnation is not closed. */
const ARBITER_LEASE_MS = 1_800;
/** Longest wait for the requests in flight when the entry stops. */
const STOP_TIMEOUT_MS = 60_000;
const STOP_POLL_MS = 20;

export interface EntryProcessOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
  readonly registry: Registry;
  readonly version: string;
}

interface EntryTls {
  readonly callers: TlsMaterial | undefined;
  readonly peers: TlsMaterial | undefined;
}

export class EntryProcess {
  readonly #options: EntryProcessOptions;
  readonly #incarnation = randomUUID();
  readonly #store: PlatformClient;
  readonly #tickets: TicketSigner;
  readonly #metrics: RequestMetrics;
  readonly #views: ViewKeeper;
  readonly #agents: AgentFollower;
  readonly #entries: EntryFollower;
  readonly #members: MemberTask;
  readonly #requests: RequestTask;
  readonly #takeOvers: TakeOverTask;
  readonly #lease: ArbiterLease;
  readonly #tls: EntryTls;
  #callers: CallerServer | undefined;
  #peers: PeerServer | undefined;
  #observability: ObservabilityServer | undefined;
  #registration: ProcessRegistration | undefined;
  #stopWatching: () => void = () => {};
  #callerUrl = "";
  #isStopping = false;

  private constructor(
    options: EntryProcessOptions,
    dependencies: { readonly hash: TextHash; readonly tls: EntryTls },
  ) {
    this.#options = options;
    this.#tls = dependencies.tls;
    const { settings, logger, registry } = options;
    const incarnation = this.#incarnation;
    const { peerSecret, name: entry } = settings;
    const store = this.#store = createPlatformClient(options);
    const connector = dependencies.tls.peers &&
      createConnector(dependencies.tls.peers);
    const peer = { peerSecret, ...(connector && { connector }) };
    const access: PeerAccess = { ...peer, timeoutMs: PEER_TIMEOUT_MS };
    const { hash } = dependencies;
    this.#tickets = TicketSigner.create({ incarnation, secret: peerSecret });
    this.#metrics = RequestMetrics.create(registry);
    this.#agents = AgentFollower.create({
      entry,
      incarnation,
      access,
      hash,
      isLeaving: (target) => this.#members.isLeaving(target),
      onStatus: ({ target, incarnation, isDraining: isLeaving }) =>
        this.#members.recordStatus({
          target: target.name,
          incarnation,
          isLeaving,
        }),
      onNoAnswer: ({ target, incarnation }) =>
        this.#members.recordNoAnswer(target.name, incarnation),
    });
    this.#members = MemberTask.create({
      logger,
      listVms: () => store.listVms(),
      onMembers: (members) => this.#requests.applyMembers(members),
    });
    this.#entries = EntryFollower.create({
      entry,
      access,
      hash,
      onLost: (lost) => this.#takeOvers.reportEntryLost(lost),
    });
    this.#takeOvers = TakeOverTask.create({
      incarnation,
      leaseMs: ARBITER_LEASE_MS,
      store,
      logger,
      findAgent: (target, agent) => this.#agents.findClient(target, agent),
    });
    this.#requests = RequestTask.create({
      ...peer,
      entry,
      incarnation,
      hash,
      logger,
      tickets: this.#tickets,
      metrics: this.#metrics,
      findHome: (query) => this.#takeOvers.findHome(query),
      onHomeUnreachable: (home) => this.#probeHomeEntry(home),
      broadcastLosses: (losses) => this.#entries.broadcastLosses(losses),
      broadcastQuarantine: (fingerprint) =>
        this.#entries.broadcastQuarantine(fingerprint),
      onKeyedRequest: () => this.#lease.recordUse(),
      readNowMs: () => performance.now(),
    });
    this.#lease = ArbiterLease.create({
      incarnation,
      leaseMs: ARBITER_LEASE_MS,
      store,
      onRenewed: (untilMs) => {
        this.#requests.renewArbiterLease(untilMs);
        this.#takeOvers.renewOwnLease(untilMs);
      },
      onIncarnationClosed: () => this.#requests.closeIncarnation(),
    });
    this.#views = ViewKeeper.create({
      client: store,
      logger,
      viewListeners: [
        this.#requests,
        this.#members,
        this.#agents,
        this.#entries,
        this.#takeOvers,
      ].map((task) => (view) => task.applyView(view)),
      onWatchEvent: (event) => this.#takeOvers.applyWatchEvent(event),
    });
  }

  static async create(options: EntryProcessOptions): Promise<EntryProcess> {
    const { callerTls, peerTls } = options.settings;
    const [hash, callers, peers] = await Promise.all([
      createTextHash(),
      loadTls(callerTls, options.logger),
      loadTls(peerTls, options.logger),
    ]);
    return new EntryProcess(options, { hash, tls: { callers, peers } });
  }

  /** Resolves when the entry listens; it accepts requests once it has a view. */
  async start(): Promise<void> {
    const { settings, registry } = this.#options;
    this.#observability = await ObservabilityServer.create({
      ...settings.observeListen,
      registry,
      readReadiness: () => this.#readReadiness(),
    });
    const peerUrl = await this.#listenForPeers();
    this.#callerUrl = await this.#listenForCallers();
    this.#options.logger.log("entryListens", {
      entry: settings.name,
      callerUrl: this.#callerUrl,
      peerUrl,
    });
    this.#stopWatching = this.#views.start();
    void this.#register(peerUrl);
  }

  /** Rejects new requests, waits for those in flight, and stops all tasks. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.#registration?.withdraw();
    const deadlineMs = performance.now() + STOP_TIMEOUT_MS;
    while (this.#requests.inFlight > 0 && performance.now() < deadlineMs) {
      await new Promise((resolve) => setTimeout(resolve, STOP_POLL_MS));
    }
    await this.#callers?.close();
    this.#stopWatching();
    this.#lease.stop();
    this.#entries.stop();
    this.#members.stop();
    this.#agents.stop();
    this.#takeOvers.stop();
    await this.#requests.stop();
    await this.#peers?.close();
    await this.#observability?.close();
    await this.#store.close();
  }

  async #listenForPeers(): Promise<string> {
    const { peerListen, peerSecret, peerUrl } = this.#options.settings;
    const tls = this.#tls.peers;
    this.#peers = PeerServer.create({
      ...peerListen,
      peerSecret,
      router: createEntryRouter({
        readStatus: () => this.#readStatus(),
        ping: () => ({
          incarnation: this.#incarnation,
          viewRevision: this.#views.view?.revision ?? 0,
        }),
        applyRemoteLosses: (losses) => this.#requests.applyRemoteLosses(losses),
        applyRemoteQuarantine: (fingerprint) =>
          this.#requests.applyRemoteQuarantine(fingerprint),
      }),
      onAttempt: (request, responder) => this.#handleRelay(request, responder),
      ...(tls === undefined ? {} : { tls }),
    });
    const port = await this.#peers.listen();
    const isTls = tls !== undefined;
    return peerUrl ?? deriveUrl({ host: peerListen.host, port, isTls });
  }

  async #listenForCallers(): Promise<string> {
    const { settings, logger } = this.#options;
    const { callerListen, callerUrl, operatorKeyDigest } = settings;
    const tls = this.#tls.callers;
    const handleOperator = createOperatorHandler({
      store: this.#store,
      readView: () => this.#views.view,
      readStatus: () => this.#readStatus(),
      logger,
      ...(operatorKeyDigest && { bootstrapKeyDigest: operatorKeyDigest }),
    });
    this.#callers = CallerServer.create({
      ...callerListen,
      entry: settings.name,
      handlers: this.#createCallerHandlers(),
      operatorListener: (request, response) =>
        void handleOperator(request, response),
      ...(tls === undefined ? {} : { tls }),
    });
    const port = await this.#callers.listen();
    const isTls = tls !== undefined;
    return callerUrl ?? deriveUrl({ host: callerListen.host, port, isTls });
  }

  async #register(peerUrl: string): Promise<void> {
    const { settings, logger } = this.#options;
    const { name, dataCentre } = settings;
    const value: EntryRegistration = {
      name,
      incarnation: this.#incarnation,
      callerUrl: this.#callerUrl,
      peerUrl,
      dataCentre,
    };
    this.#registration = ProcessRegistration.create({
      store: this.#store,
      kind: "entry",
      name,
      value,
      logger,
    });
    await this.#registration.write();
  }

  #createCallerHandlers(): CallerHandlers {
    return {
      readRefusal: () => this.#isStopping ? "stopping" : undefined,
      readConfig: () => {
        const view = this.#views.view;
        if (view?.config === undefined) return undefined;
        return { revision: view.revision, config: view.config.value };
      },
      findContract: (key) => {
        const view = this.#views.view;
        return view && findOrganisationByKey(view, key)?.value;
      },
      createAddressAnswer: (contract) => this.#createAddressAnswer(contract),
      handleRequest: (request, answer) =>
        this.#requests.handleRequest(request, answer),
    };
  }

  #createAddressAnswer({ organisation }: Contract): AddressAnswer {
    const view = this.#views.view;
    const validityMs = view?.config?.value.ticketValidityMs ?? 0;
    return {
      addresses: [this.#callerUrl, ...this.#entries.listReachable()],
      validityMs,
      ticket: this.#tickets.issue(organisation, {
        revision: view?.revision ?? 0,
        nowMs: performance.now(),
        validityMs,
      }),
    };
  }

  #handleRelay(request: AttemptRequest, responder: AttemptResponder): void {
    const { message, body } = request;
    const isHome = message.kind === "relay" &&
      message.homeIncarnation === this.#incarnation;
    // Closing without a frame makes the sender look up the home entry again.
    if (!isHome) return responder.end();
    this.#requests.handleRelay(message, body, responder);
  }

  /** Probes the entry that arbitrates the keys of an incarnation. */
  #probeHomeEntry(incarnation: string): void {
    const arbiter = this.#takeOvers.arbiterOf(incarnation);
    if (arbiter !== undefined) this.#entries.probe(arbiter);
  }

  #readReadiness(): {
    readonly isReady: boolean;
    readonly reasons: readonly string[];
  } {
    const reasons: string[] = [];
    if (this.#views.view === undefined) reasons.push("No view of the platform");
    else if (this.#views.view.config === undefined) {
      reasons.push("No configuration");
    }
    if (this.#isStopping) reasons.push("Stopping");
    return { isReady: reasons.length === 0, reasons };
  }

  #readStatus(): StatusReport {
    const { settings, version } = this.#options;
    const { name, dataCentre } = settings;
    const readiness = this.#readReadiness();
    return createStatusReport({
      entry: { name, dataCentre, callerUrl: this.#callerUrl },
      version,
      incarnation: this.#incarnation,
      readiness,
      view: this.#views.view,
      isPlatformReachable: this.#views.isPlatformReachable,
      agents: this.#agents,
      outcomes: this.#metrics.readOutcomes(),
    });
  }
}

function createPlatformClient(
  { settings, logger }: EntryProcessOptions,
): PlatformClient {
  const { platformUrl, platformToken: token, platformTimeoutMs } = settings;
  return PlatformClient.create({
    platformUrl,
    timeoutMs: platformTimeoutMs,
    logger,
    ...(token === undefined ? {} : { token }),
  });
}

function loadTls(
  source: TlsSource | undefined,
  logger: Logger,
): Promise<TlsMaterial | undefined> {
  if (source === undefined) return Promise.resolve(undefined);
  return TlsMaterial.create({ source, logger });
}
