/**
 * The agent process beside the engine of one rank of a group. Answers the group's
 * coordinator, and becomes the coordinator itself, under a higher term, if it
 * receives no calls from one. `platform-node` runs this process.
 */

import { computeBackoffMs } from "@dandelionbank/back-off";
import {
  claimLeadershipOnTimeout,
  createLeadershipState,
  type LeadershipState,
  restartElectionTimeout,
} from "@dandelionbank/elect-coordinator";
import { HttpListener } from "@dandelionbank/listen-http";
import type { Logger } from "@dandelionbank/log-events";
import {
  type BootSettings,
  EngineClient,
  parseAddress,
  StoreClient,
} from "@dandelionbank/platform-adapter";
import { computeMaxConcurrentCalls } from "@dandelionbank/plan-relays";
import { createRankRouter, RANK_PATH } from "@dandelionbank/rank-api";
import { serveCall } from "@dandelionbank/trpc-over-http";
import { setTimeout as delay } from "node:timers/promises";
import { Coordinator } from "./coordinator.ts";
import { GroupView } from "./group_view.ts";
import { RankAgent } from "./rank_agent.ts";
import { RankLink } from "./rank_link.ts";

const LEADERSHIP_CHECK_INTERVAL_MS = 200;
const STORE_RETRY_MS = 2_000;

export interface RankProcessOptions {
  readonly settings: BootSettings;
  readonly logger: Logger;
}

export class RankProcess {
  readonly #options: RankProcessOptions;
  readonly #engineAddress: string;
  readonly #leadershipState: LeadershipState;
  readonly #agent: RankAgent;
  readonly #view: GroupView;
  readonly #server: HttpListener;
  /** Links to the service's ranks, by the address of their engine. */
  readonly #links = new Map<string, RankLink>();
  #isStopped = false;

  private constructor(
    options: RankProcessOptions,
    { engineAddress, service }: {
      readonly engineAddress: string;
      readonly service: string;
    },
  ) {
    const { settings, logger } = options;
    this.#options = options;
    this.#engineAddress = engineAddress;
    const { name, ip, peerPort, store } = settings;
    this.#leadershipState = createLeadershipState({
      name,
      nowMs: performance.now(),
    });
    this.#agent = RankAgent.create({
      engine: EngineClient.create(engineAddress),
      leadershipState: this.#leadershipState,
      logger,
      address: `${ip}:${peerPort}`,
    });
    const client = StoreClient.create(`${store.host}:${store.port}`, {
      onInvalidEra: (era) => logger.log("storeEraInvalid", { era }),
    });
    this.#view = GroupView.create({ client, service, logger });
    const router = createRankRouter(this.#agent);
    this.#server = HttpListener.create({
      host: ip,
      port: peerPort,
      listener: (request, response) => {
        const pathPrefix = `${RANK_PATH}/`;
        void serveCall(request, response, { router, pathPrefix });
      },
      onError: (error, { method, url }) =>
        this.#logError(`request ${method} ${url}`, error),
    });
  }

  static create(options: RankProcessOptions): RankProcess {
    const { engine, engineService } = options.settings;
    if (engine === undefined || engineService === undefined) {
      throw new Error(
        "The settings `app` and `service` are required for the role rank",
      );
    }
    return new RankProcess(options, {
      engineAddress: `${engine.host}:${engine.port}`,
      service: engineService,
    });
  }

  async start(): Promise<void> {
    await this.#server.listen();
    const { name } = this.#options.settings;
    this.#options.logger.log("rankAgentStarted", {
      name,
      engine: this.#engineAddress,
    });
    void this.#loadView();
    void this.#watchLeadership();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#leadershipState.isLeading = false;
    this.#view.stopWatching();
    this.#agent.close();
    await this.#server.close();
  }

  /** Loads the view until it contains all ranks of this rank's group. */
  async #loadView(): Promise<void> {
    while (!this.#isStopped) {
      const isLoaded = await this.#view.load();
      // Engines register in the store some time after they start.
      const groupSize = this.#agent.report?.groupSize;
      const count = this.#view.targets.length;
      if (isLoaded && groupSize !== undefined && count >= groupSize) return;
      await delay(computeBackoffMs(1, {
        firstMs: STORE_RETRY_MS,
        longestMs: STORE_RETRY_MS,
        random: Math.random(),
      }));
    }
  }

  /** Coordinates the group whenever this agent becomes its leader. */
  async #watchLeadership(): Promise<void> {
    while (!this.#isStopped) {
      await delay(LEADERSHIP_CHECK_INTERVAL_MS);
      const report = this.#agent.report;
      if (report === undefined) {
        await this.#agent.readReport();
        restartElectionTimeout(this.#leadershipState, performance.now());
        continue;
      }
      const isLeader = claimLeadershipOnTimeout(this.#leadershipState, {
        rank: report.rank,
        groupSize: report.groupSize,
        nowMs: performance.now(),
        wallMs: Date.now(),
      });
      if (isLeader) await this.#coordinate(report.group);
    }
  }

  #logError(operation: string, error: unknown): void {
    const detail = String(error);
    this.#options.logger.log("unexpectedError", { operation, detail });
  }

  async #coordinate(group: string): Promise<void> {
    const { logger } = this.#options;
    const { term } = this.#leadershipState.latest;
    const reason = "no call from a coordinator";
    logger.log("coordinatorStarted", { group, term, reason });
    this.#view.startWatching();
    try {
      await Coordinator.create({
        group,
        leadershipState: this.#leadershipState,
        logger,
        listLinks: () => this.#listLinks(),
        readProfile: () => this.#view.profile,
      }).run();
    } catch (error) {
      this.#logError(`coordination of group ${group}`, error);
      this.#leadershipState.isLeading = false;
    }
    this.#view.stopWatching();
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
  }

  /**
   * Returns a link for each target of the service, closing those of removed
   * targets.
   */
  #listLinks(): readonly RankLink[] {
    const dataCentres = new Map(
      this.#view.targets.map((target) => [target.address, target.dataCentre]),
    );
    dataCentres.set(this.#engineAddress, this.#options.settings.dataCentre);
    for (const [address, dataCentre] of dataCentres) {
      if (this.#links.has(address)) continue;
      this.#links.set(address, this.#openLink(address, dataCentre));
    }
    for (const [address, link] of this.#links) {
      if (dataCentres.has(address)) continue;
      link.close();
      this.#links.delete(address);
    }
    return [...this.#links.values()];
  }

  /** Opens a link; an agent runs on the VM of its engine. */
  #openLink(engineAddress: string, dataCentre: string): RankLink {
    const host = parseAddress(engineAddress)?.host ?? "";
    return RankLink.create({
      agentAddress: `${host}:${this.#options.settings.peerPort}`,
      engineAddress,
      dataCentre,
      concurrentCalls: computeMaxConcurrentCalls(this.#view.targets.length),
      localAgent: engineAddress === this.#engineAddress
        ? this.#agent
        : undefined,
    });
  }
}
