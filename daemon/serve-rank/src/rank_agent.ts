/**
 * Serves the calls of the group's coordinator: reads the engine beside this
 * agent and forwards orders to it, but only for the coordinator with the newest
 * term: the number that each new coordinator raises. A service may have several
 * groups; calls of another group's coordinator are rejected.
 */

import {
  followCoordinator,
  joinGroup,
  type Leadership,
  type LeadershipState,
} from "@dandelionbank/elect-coordinator";
import type { Logger } from "@dandelionbank/log-events";
import type { EngineClient } from "@dandelionbank/platform-adapter";
import {
  applyMapChange,
  type ChangeReply,
  type ChangeRequest,
  encodeCounts,
  type NewerTerm,
  type OrderReply,
  type OrderRequest,
  type OtherGroup,
  type PollReply,
  type PollRequest,
  type RankHandlers,
  type RelayReply,
  type RelayRequest,
} from "@dandelionbank/rank-api";
import type {
  ExpertMap,
  HeldExperts,
  OrderForwardingState,
  RankReport,
} from "@dandelionbank/types";
import { ChoiceSnapshots } from "./choice_snapshots.ts";
import { CallRelay } from "./call_relay.ts";

/**
 * An order that got no answer may still be executed up to 12 s later; 1 s is
 * added as a margin.
 */
const LATE_ORDER_MS = 13_000;

export interface RankAgentOptions {
  readonly engine: EngineClient;
  readonly leadershipState: LeadershipState;
  readonly logger: Logger;
  /** `IP:PORT` of this agent for other agents. */
  readonly address: string;
}

interface PreparedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

export class RankAgent implements RankHandlers {
  readonly #options: RankAgentOptions;
  readonly #relay: CallRelay;
  readonly #snapshots = ChoiceSnapshots.create();
  #report: RankReport | undefined;
  #isEngineLost = false;
  /** The last map that the engine accepted in a prepare order. */
  #prepared: PreparedMap | undefined;
  /** See `OrderForwardingState`. */
  #orderedByRank: number | undefined;
  /**
   * When an arm order last got no answer. Initially the agent's own start, since
   * earlier orders are unknown.
   */
  #lostArmAtMs = performance.now();
  /** Orders to arm that the engine has not answered yet. */
  #armsInFlight = 0;

  private constructor(options: RankAgentOptions) {
    this.#options = options;
    this.#relay = CallRelay.create({
      ownAddress: options.address,
      localAgent: this,
    });
  }

  static create(options: RankAgentOptions): RankAgent {
    return new RankAgent(options);
  }

  /** The engine's last report. */
  get report(): RankReport | undefined {
    return this.#report;
  }

  async poll(request: PollRequest): Promise<PollReply> {
    const rejection = this.#rejectCall(request);
    if (rejection !== undefined) return rejection;
    const { engine } = this.#options;
    const [report, choices] = await Promise.all([
      this.readReport(),
      request.withChoices ? engine.readChoices() : undefined,
    ]);
    if (choices === undefined) {
      return {
        kind: "polled",
        report,
        choices: undefined,
        orders: this.#orderForwardingState,
      };
    }
    const difference = this.#snapshots.snapshotSince(
      choices,
      request.sinceSnapshot,
    );
    const counts = encodeCounts(difference.counts);
    const orders = this.#orderForwardingState;
    return {
      kind: "polled",
      report,
      choices: { ...difference, counts },
      orders,
    };
  }

  async order(request: OrderRequest): Promise<OrderReply> {
    const rejection = this.#rejectCall(request);
    if (rejection !== undefined) return rejection;
    const { order, epoch, term, coordinator } = request;
    const { engine, logger } = this.#options;
    const isReverting = order.kind === "supersede" || order.kind === "disarm";
    this.#orderedByRank = isReverting ? undefined : request.rank;
    const isArm = order.kind === "arm";
    if (order.kind === "release") {
      const { step } = order;
      logger.log("releaseForwarded", { coordinator, term, step, epoch });
    }
    if (isArm) this.#armsInFlight += 1;
    const result = await engine.sendOrder(order, epoch);
    if (isArm) this.#armsInFlight -= 1;
    const reason = engine.lastFailure ?? "";
    if (order.kind === "prepare" && result === "done") {
      const { version, map } = order;
      this.#prepared = { version, map };
    }
    if (isArm && result === "lost") {
      this.#lostArmAtMs = performance.now();
    }
    if (result !== "done") {
      logger.log("orderFailed", {
        order: order.kind,
        term,
        result,
        detail: "step" in order
          ? `step ${order.step}, epoch ${epoch}, ${reason}`
          : `version ${order.version}, epoch ${epoch}, ${reason}`,
      });
    }
    return { kind: "ordered", result };
  }

  async prepareChange(request: ChangeRequest): Promise<ChangeReply> {
    const { baseVersion, change, version, ...rest } = request;
    const base = this.#prepared;
    if (base?.version !== baseVersion) return { kind: "baseUnknown" };
    const map = applyMapChange(base.map, change);
    const order = { kind: "prepare", version, map } as const;
    return await this.order({ ...rest, order });
  }

  /** Relays a coordinator's call to agents near this one. */
  async relay(request: RelayRequest): Promise<RelayReply> {
    const rejection = this.#rejectCall(request);
    if (rejection !== undefined) return rejection;
    return await this.#relay.relayCall(request);
  }

  close(): void {
    this.#relay.close();
  }

  readExperts(): Promise<HeldExperts | undefined> {
    return this.#options.engine.readExperts();
  }

  async readReport(): Promise<RankReport | undefined> {
    const report = await this.#options.engine.readReport();
    this.#trackEngine(report);
    this.#report = report ?? this.#report;
    return report;
  }

  get #orderForwardingState(): OrderForwardingState {
    const elapsedMs = performance.now() - this.#lostArmAtMs;
    return {
      mayArmLate: this.#armsInFlight > 0 || elapsedMs < LATE_ORDER_MS,
      orderedByRank: this.#orderedByRank,
    };
  }

  /** Follows the calling coordinator, or returns why the call is rejected. */
  #rejectCall(
    { group, term, coordinator, rank }: Leadership,
  ): NewerTerm | OtherGroup | undefined {
    const { leadershipState, logger } = this.#options;
    const nowMs = performance.now();
    // Before the first report, the caller knows the group from the other ranks.
    const ownGroup = this.#report?.group ?? group;
    joinGroup(leadershipState, { group: ownGroup, nowMs });
    if (group !== ownGroup) return { kind: "otherGroup" };
    const previous = leadershipState.latest;
    const isFollowed = followCoordinator(leadershipState, {
      leadership: { group, term, coordinator, rank },
      nowMs,
    });
    if (!isFollowed) {
      logger.log("ordersDiscarded", { term, known: previous.term });
      return { kind: "newer", term: previous.term };
    }
    if (previous.term !== term) {
      logger.log("coordinatorFollowed", { coordinator, term });
    }
    return undefined;
  }

  #trackEngine(report: RankReport | undefined): void {
    const { logger, leadershipState } = this.#options;
    if (report === undefined && !this.#isEngineLost) {
      this.#isEngineLost = true;
      const reason = this.#options.engine.lastFailure ??
        "engine is in no group";
      logger.log("engineLost", { reason });
    }
    if (report === undefined) return;
    const { rank, group, epoch } = report;
    const hasMoved = joinGroup(leadershipState, {
      group,
      nowMs: performance.now(),
    });
    if (!this.#isEngineLost && this.#report !== undefined && !hasMoved) return;
    this.#isEngineLost = false;
    logger.log("engineRegained", { rank, group, epoch });
  }
}
