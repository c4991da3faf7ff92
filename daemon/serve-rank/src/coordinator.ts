/**
 * Coordinates one group while this agent is its leader: polls all ranks, tracks
 * the demand for experts, plans expert maps and switches the group to them.
 *
 * Each coordinator has a term, and agents obey only the highest term that they
 * know. For a switch, all ranks first prepare the new map, then one rank holds an
 * upcoming pass while all are armed to switch at that pass (see `switch-group`).
 */

import {
  adoptNewerTerm,
  computePollIntervalMs,
  type Leadership,
  type LeadershipState,
} from "@dandelionbank/elect-coordinator";
import type { Logger } from "@dandelionbank/log-events";
import { measureAgeMs } from "@dandelionbank/measure-age";
import {
  computeMaxCopiesPerRank,
  createDemandEstimate,
  type DemandEstimate,
  estimateDemandBySet,
  type ExpertPlan,
  isChangeWorthwhile,
  planExperts,
  recordChoices,
} from "@dandelionbank/plan-experts";
import { readInstant } from "@dandelionbank/read-instant";
import {
  canStartSwitch,
  createSwitchState,
  requiresAllReports,
  requiresCurrentMap,
  stepSwitch,
  type SwitchEffect,
  type SwitchEvent,
  type SwitchState,
} from "@dandelionbank/switch-group";
import type {
  ExpertMap,
  ExpertProfile,
  Instant,
  RankReport,
} from "@dandelionbank/types";
import { FanOut } from "./fan_out.ts";
import { GroupMap } from "./group_map.ts";
import { type PollRound, RankPoller } from "./rank_poller.ts";
import type { OrderOutcome, RankLink } from "./rank_link.ts";

/** Poll interval while ranks copy experts, which takes a few hundred ms. */
const PREPARE_INTERVAL_MS = 50;
/**
 * Limits the traffic of a large group: a poll takes a few hundred bytes per
 * rank.
 */
const PREPARE_INTERVAL_PER_RANK_MS = 1;
/** Poll interval while one rank may hold a pass, for which all ranks wait. */
const SWITCH_INTERVAL_MS = 15;
/**
 * Expert sets with a lower skew count as balanced; demand is not measured more
 * precisely.
 */
const TARGET_SKEW = 1.15;
/** Shorter than the time after which another agent may become the leader. */
const RECENT_REPLY_MS = 500;
/** Map versions reserved for each term, so that no two terms share a version. */
const VERSIONS_PER_TERM = 64;

export interface CoordinatorOptions {
  readonly group: string;
  readonly leadershipState: LeadershipState;
  readonly logger: Logger;
  /** Links to all targets of the service, in whatever group. */
  readonly listLinks: () => readonly RankLink[];
  readonly readProfile: () => ExpertProfile | undefined;
}

type SendEffect = Extract<SwitchEffect, { readonly type: "send" }>;
type AdvancedEffect = Extract<SwitchEffect, { readonly type: "advanced" }>;

export class Coordinator {
  readonly #options: CoordinatorOptions;
  readonly #leadership: Leadership;
  readonly #fanOut: FanOut;
  readonly #poller: RankPoller;
  readonly #switch: SwitchState;
  readonly #map: GroupMap;
  readonly #demand: DemandEstimate = createDemandEstimate();
  /** The map that the switch in progress will put in force. */
  #pendingMap: ExpertMap | undefined;
  /** When an agent last replied to a poll. */
  #repliedAt: Instant | undefined;
  #endSleep: () => void = () => undefined;
  #choicesPolledAtMs = 0;
  #switchStartedAtMs = 0;

  private constructor(options: CoordinatorOptions) {
    const { group, leadershipState, listLinks } = options;
    this.#options = options;
    this.#leadership = leadershipState.latest;
    const { term, rank } = this.#leadership;
    this.#fanOut = FanOut.create(this.#leadership);
    this.#poller = RankPoller.create({
      group,
      fanOut: this.#fanOut,
      listLinks,
    });
    this.#map = GroupMap.create({
      readExperts: async (id) => await this.#poller.findLink(id)?.readExperts(),
    });
    this.#switch = createSwitchState({
      firstVersion: term * VERSIONS_PER_TERM,
      ownRank: rank,
    });
  }

  static create(options: CoordinatorOptions): Coordinator {
    return new Coordinator(options);
  }

  /** Runs until another agent becomes the leader. */
  async run(): Promise<void> {
    while (this.#isLeading) {
      await this.#runRound();
      await this.#sleep(this.#intervalMs);
    }
  }

  /** Sleeps until the next round, or until `#endSleep` is called. */
  async #sleep(durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, durationMs);
      this.#endSleep = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  get #isLeading(): boolean {
    const { leadershipState } = this.#options;
    return leadershipState.isLeading &&
      leadershipState.latest.term === this.#leadership.term;
  }

  /** True if agents replied so recently that none can follow another leader. */
  get #hasRecentReplies(): boolean {
    const repliedAt = this.#repliedAt;
    if (repliedAt === undefined) return false;
    return measureAgeMs(repliedAt, readInstant()) < RECENT_REPLY_MS;
  }

  get #pollIntervalMs(): number {
    return computePollIntervalMs(this.#switch.groupSize);
  }

  get #intervalMs(): number {
    const { phase, groupSize } = this.#switch;
    const { name } = phase;
    if (name === "idle") return this.#pollIntervalMs;
    const isCopying = name === "preparing" || name === "settling";
    if (!isCopying) return SWITCH_INTERVAL_MS;
    return Math.max(
      PREPARE_INTERVAL_MS,
      groupSize * PREPARE_INTERVAL_PER_RANK_MS,
    );
  }

  async #runRound(): Promise<void> {
    const nowMs = performance.now();
    const withChoices = nowMs - this.#choicesPolledAtMs >= this.#pollIntervalMs;
    if (withChoices) this.#choicesPolledAtMs = nowMs;
    const round = await this.#poller.poll({ withChoices });
    if (round.newerTerm !== undefined) this.#stepDown(round.newerTerm);
    if (!this.#isLeading) return;
    const { reports, agentOrders, choices } = round;
    if (choices !== undefined) {
      recordChoices(this.#demand, {
        counts: choices,
        nowMs: performance.now(),
      });
    }
    const directReports = await this.#readUnresponsive(round);
    const wasIdle = this.#switch.phase.name === "idle";
    const allReports = [...reports, ...directReports];
    this.#dispatch({
      type: "reported",
      reports: allReports,
      polledAtMs: nowMs,
      isFollowedByAll: directReports.length === 0,
      agentOrders,
    });
    if (reports.length > 0) this.#repliedAt = readInstant();
    if (requiresCurrentMap(this.#switch)) {
      await this.#readCurrentMap(allReports);
    }
    // Once a switch is done, the next one may be planned at once.
    const mayPlan = withChoices || !wasIdle;
    if (mayPlan && canStartSwitch(this.#switch)) await this.#planNext(reports);
  }

  /**
   * Reads the engines of ranks whose agents do not answer: at once if the
   * switch needs all ranks, otherwise periodically, since any rank may be
   * holding a pass.
   */
  async #readUnresponsive(
    { reports, unresponsive }: PollRound,
  ): Promise<readonly RankReport[]> {
    const groupSize = reports[0]?.groupSize ?? 0;
    if (reports.length >= groupSize) return [];
    const isNeeded = requiresAllReports(this.#switch, reports);
    if (!isNeeded && !this.#poller.isDirectReadDue) return [];
    const directReports = await this.#poller.readDirectly(unresponsive);
    const { group, logger } = this.#options;
    logger.log("ranksReadPast", {
      group,
      asked: unresponsive.length,
      found: directReports.length,
      reason: unresponsive[0]?.lastFailure,
      held: [...reports, ...directReports].some((report) =>
        report.heldStep !== undefined
      ),
    });
    return directReports;
  }

  async #readCurrentMap(reports: readonly RankReport[]): Promise<void> {
    const profile = this.#options.readProfile();
    if (profile === undefined) return;
    const map = await this.#map.read(reports, profile);
    if (map !== undefined) this.#dispatch({ type: "currentMapRead", map });
  }

  #stepDown(term: number): void {
    const { leadershipState, logger, group } = this.#options;
    if (!this.#isLeading) return;
    adoptNewerTerm(leadershipState, term);
    logger.log("coordinatorEnded", {
      group,
      reason: `superseded by term ${term}`,
    });
  }

  async #planNext(reports: readonly RankReport[]): Promise<void> {
    const profile = this.#options.readProfile();
    if (profile === undefined) return;
    const demand = estimateDemandBySet(this.#demand, profile.expertsPerSet);
    const map = await this.#map.read(reports, profile);
    if (demand === undefined || map === undefined) return;
    if (!canStartSwitch(this.#switch)) return;
    const paces = [...reports].sort((left, right) => left.rank - right.rank)
      .map(({ pace }) => pace);
    const plan = planExperts({
      profile,
      map,
      demand,
      paces,
      maxCopiesPerRank: computeMaxCopiesPerRank(profile),
      targetSkew: TARGET_SKEW,
    });
    if (!isChangeWorthwhile(plan, profile)) return;
    this.#dispatch({ type: "planned", map: plan.map });
    this.#logPlan(plan);
  }

  #dispatch(event: SwitchEvent): void {
    const { effects } = stepSwitch(this.#switch, event, performance.now());
    for (const effect of effects) {
      if (effect.type === "advanced") this.#handleAdvance(effect);
    }
    const sends = effects.filter((effect) => effect.type === "send");
    for (const sameOrders of groupByOrder(sends)) this.#send(sameOrders);
  }

  #handleAdvance({ phase, version, epoch, step }: AdvancedEffect): void {
    const nowMs = performance.now();
    const { phase: currentPhase } = this.#switch;
    if (phase === "preparing") {
      this.#switchStartedAtMs = nowMs;
      this.#pendingMap = currentPhase.name === "preparing"
        ? currentPhase.map
        : undefined;
    }
    // The pass is held until the next round has confirmed that agents answer.
    if (phase === "confirming") this.#endSleep();
    this.#options.logger.log("switchAdvanced", {
      version,
      epoch,
      phase,
      step,
      elapsedMs: Math.round(nowMs - this.#switchStartedAtMs),
    });
    const map = this.#pendingMap;
    if (phase === "switched" && map !== undefined) {
      this.#map.setCurrent({ version, epoch, map });
    }
    if (phase === "switched" || phase === "abandoned") {
      this.#pendingMap = undefined;
    }
  }

  /** Sends orders that differ only in their ranks. */
  #send(sameOrders: readonly SendEffect[]): void {
    const [first] = sameOrders;
    if (first === undefined || !this.#isLeading) return;
    const { order, epoch, mayBypassAgent, isDirect } = first;
    // After a freeze another agent may lead; agents detect that, engines do
    // not.
    const canSendDirectly = (mayBypassAgent || isDirect) &&
      this.#hasRecentReplies;
    if (isDirect && !canSendDirectly) return;
    const ranks = new Map<RankLink, number>();
    for (const { rank } of sameOrders) {
      const link = this.#poller.findLink(rank);
      if (link !== undefined) ranks.set(link, rank);
    }
    this.#fanOut.order([...ranks.keys()], {
      order,
      epoch,
      route: isDirect ? "direct" : canSendDirectly ? "agentOrDirect" : "agent",
      onOutcome: (link, outcome) => {
        const rank = ranks.get(link);
        if (rank === undefined) return;
        this.#handleOutcome({ rank, order, epoch }, outcome);
      },
    });
  }

  #handleOutcome(
    sent: Pick<SendEffect, "rank" | "order" | "epoch">,
    outcome: OrderOutcome,
  ): void {
    if (typeof outcome === "object") return this.#stepDown(outcome.newerTerm);
    if (!this.#isLeading) return;
    this.#dispatch({ type: "orderEnded", ...sent, result: outcome });
  }

  #logPlan(plan: ExpertPlan): void {
    const { phase } = this.#switch;
    this.#options.logger.log("mapPlanned", {
      version: phase.name === "idle" ? 0 : phase.version,
      choices: Math.round(
        (this.#demand.decayedCounts ?? []).reduce(
          (sum, count) => sum + count,
          0,
        ),
      ),
      windowMs: this.#pollIntervalMs,
      skewBefore: Number(plan.skewBefore.toFixed(2)),
      skewAfter: Number(plan.skewAfter.toFixed(2)),
      copies: plan.copies,
    });
  }
}

/** Groups orders that differ only in their ranks. */
function groupByOrder(
  sends: readonly SendEffect[],
): readonly (readonly SendEffect[])[] {
  const groups = new Map<string, SendEffect[]>();
  for (const send of sends) {
    const { order, epoch, mayBypassAgent, isDirect } = send;
    const subject = "step" in order ? order.step : order.version;
    const key = [order.kind, subject, epoch, mayBypassAgent, isDirect].join(
      "/",
    );
    const group = groups.get(key) ?? [];
    group.push(send);
    groups.set(key, group);
  }
  return [...groups.values()];
}
