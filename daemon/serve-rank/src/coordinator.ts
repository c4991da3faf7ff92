/**
 * Coordinates one group while this agent has the duty: polls all ranks,
 * follows which experts are in demand, plans maps and switches to them.
 */

import {
  type Leadership,
  type LeadState,
  noteNewerTerm,
  readPollInterval,
} from "@dandelionbank/lead-group";
import type { Logger } from "@dandelionbank/log-events";
import { measureAgeMs } from "@dandelionbank/measure-age";
import {
  createFollowedDemand,
  type ExpertPlan,
  type FollowedDemand,
  isChangeWorthwhile,
  limitCopies,
  noteChoices,
  planExperts,
  readDemand,
} from "@dandelionbank/plan-experts";
import { readInstant } from "@dandelionbank/read-instant";
import {
  createSwitch,
  isIdle,
  needsAllRanks,
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
import { setTimeout as delay } from "node:timers/promises";
import { FanOut, type OrderOutcome } from "./fan_out.ts";
import { GroupMap } from "./group_map.ts";
import { type PollRound, RankPoller } from "./poll_ranks.ts";
import type { RankLink } from "./rank_link.ts";

/** While experts are copied, which takes some hundred ms. */
const PREPARE_INTERVAL_MS = 50;
/** A poll of all ranks takes some hundred bytes of the link for each. */
const PREPARE_INTERVAL_PER_RANK_MS = 1;
/** While the group may be held. */
const SWITCH_INTERVAL_MS = 15;
/** Sets below this are even enough; demand is not known better. */
const TARGET_SKEW = 1.15;
/** Shorter than agents wait before another takes the duty. */
const HEARD_LATELY_MS = 500;
/** Versions of one coordinator. */
const VERSIONS_PER_TERM = 64;

export interface CoordinatorOptions {
  readonly group: string;
  readonly lead: LeadState;
  readonly logger: Logger;
  /** Ways to every target of the service, whatever group it is in. */
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
  readonly #demand: FollowedDemand = createFollowedDemand();
  /** The map that the switch under way brings. */
  #coming: ExpertMap | undefined;
  #heardAt: Instant | undefined;
  #countedAtMs = 0;
  #switchSinceMs = 0;

  private constructor(options: CoordinatorOptions) {
    const { group, lead, listLinks } = options;
    this.#options = options;
    this.#leadership = lead.known;
    const { term, rank } = this.#leadership;
    this.#fanOut = FanOut.create(this.#leadership);
    this.#poller = RankPoller.create({
      group,
      fanOut: this.#fanOut,
      listLinks,
    });
    this.#map = GroupMap.create({
      readExperts: async (of) => await this.#poller.findLink(of)?.readExperts(),
    });
    this.#switch = createSwitch({
      firstVersion: term * VERSIONS_PER_TERM,
      ownRank: rank,
    });
  }

  static create(options: CoordinatorOptions): Coordinator {
    return new Coordinator(options);
  }

  /** Resolves when another agent has the duty. */
  async run(): Promise<void> {
    while (this.#isLeading) {
      await this.#round();
      await delay(this.#intervalMs);
    }
  }

  get #isLeading(): boolean {
    const { lead } = this.#options;
    return lead.isLeading && lead.known.term === this.#leadership.term;
  }

  /** True if agents were heard so lately that none can follow another. */
  get #isHeardLately(): boolean {
    const heardAt = this.#heardAt;
    if (heardAt === undefined) return false;
    return measureAgeMs(heardAt, readInstant()) < HEARD_LATELY_MS;
  }

  get #pollIntervalMs(): number {
    return readPollInterval(this.#switch.groupSize);
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

  async #round(): Promise<void> {
    const nowMs = performance.now();
    const withChoices = nowMs - this.#countedAtMs >= this.#pollIntervalMs;
    if (withChoices) this.#countedAtMs = nowMs;
    const round = await this.#poller.poll({ withChoices });
    if (round.newerTerm !== undefined) this.#stepDown(round.newerTerm);
    if (!this.#isLeading) return;
    const { reports, agentOrders, choices } = round;
    if (choices !== undefined) {
      noteChoices(this.#demand, { counts: choices, nowMs: performance.now() });
    }
    const readPast = await this.#readPast(round);
    const wasIdle = this.#switch.phase.name === "idle";
    this.#post({
      type: "reported",
      reports: [...reports, ...readPast],
      isFollowedByAll: readPast.length === 0,
      agentOrders,
    });
    if (reports.length > 0) this.#heardAt = readInstant();
    // A change that is done makes room for the next at once.
    const mayPlan = withChoices || !wasIdle;
    if (mayPlan && isIdle(this.#switch)) await this.#planNext(reports);
  }

  /**
   * Ranks whose agents do not answer: at once while a pass is held, and from
   * time to time, since any of them may hold one.
   */
  async #readPast(
    { reports, unresponsive }: PollRound,
  ): Promise<readonly RankReport[]> {
    const groupSize = reports[0]?.groupSize ?? 0;
    if (reports.length >= groupSize) return [];
    const isNeeded = needsAllRanks(this.#switch, reports);
    if (!isNeeded && !this.#poller.isDirectReadDue) return [];
    const found = await this.#poller.readDirectly(unresponsive);
    const { group, logger } = this.#options;
    logger.log("ranksReadPast", {
      group,
      asked: unresponsive.length,
      found: found.length,
      reason: unresponsive[0]?.lastFailure,
      held: [...reports, ...found].some((each) => each.heldStep !== undefined),
    });
    return found;
  }

  #stepDown(term: number): void {
    const { lead, logger, group } = this.#options;
    if (!this.#isLeading) return;
    noteNewerTerm(lead, term);
    logger.log("coordinatorEnded", { group, reason: `term ${term} is newer` });
  }

  async #planNext(reports: readonly RankReport[]): Promise<void> {
    const profile = this.#options.readProfile();
    if (profile === undefined) return;
    const demand = readDemand(this.#demand, profile.expertsPerSet);
    const map = await this.#map.read(reports, profile);
    if (demand === undefined || map === undefined) return;
    if (!isIdle(this.#switch)) return;
    const paces = [...reports].sort((left, right) => left.rank - right.rank)
      .map(({ pace }) => pace);
    const plan = planExperts({
      profile,
      map,
      demand,
      paces,
      maxCopiesPerRank: limitCopies(profile),
      targetSkew: TARGET_SKEW,
    });
    if (!isChangeWorthwhile(plan, profile)) return;
    this.#post({ type: "planned", map: plan.map });
    this.#logPlan(plan);
  }

  #post(event: SwitchEvent): void {
    const { effects } = stepSwitch(this.#switch, event, performance.now());
    for (const effect of effects) {
      if (effect.type === "advanced") this.#noteAdvance(effect);
    }
    const sends = effects.filter((effect) => effect.type === "send");
    for (const alike of groupAlike(sends)) this.#send(alike);
  }

  #noteAdvance({ phase, version, epoch, step }: AdvancedEffect): void {
    const nowMs = performance.now();
    const { phase: now } = this.#switch;
    if (phase === "preparing") {
      this.#switchSinceMs = nowMs;
      this.#coming = now.name === "preparing" ? now.map : undefined;
    }
    this.#options.logger.log("switchAdvanced", {
      version,
      epoch,
      phase,
      step,
      elapsedMs: Math.round(nowMs - this.#switchSinceMs),
    });
    const map = this.#coming;
    if (phase === "switched" && map !== undefined) {
      this.#map.setCurrent({ version, epoch, map });
    }
    if (phase === "switched" || phase === "abandoned") {
      this.#coming = undefined;
    }
  }

  /** Orders that differ by their ranks alone. */
  #send(alike: readonly SendEffect[]): void {
    const [first] = alike;
    if (first === undefined || !this.#isLeading) return;
    const { order, epoch, isForward, isDirect } = first;
    // After a freeze another agent may have the duty; agents know, engines not.
    const mayPass = (isForward || isDirect) && this.#isHeardLately;
    if (isDirect && !mayPass) return;
    const ranks = new Map<RankLink, number>();
    for (const { rank } of alike) {
      const link = this.#poller.findLink(rank);
      if (link !== undefined) ranks.set(link, rank);
    }
    this.#fanOut.order([...ranks.keys()], {
      order,
      epoch,
      route: isDirect ? "direct" : mayPass ? "agentOrDirect" : "agent",
      onOutcome: (link, outcome) => {
        const rank = ranks.get(link);
        if (rank === undefined) return;
        this.#takeOutcome({ rank, order, epoch }, outcome);
      },
    });
  }

  #takeOutcome(
    sent: Pick<SendEffect, "rank" | "order" | "epoch">,
    outcome: OrderOutcome,
  ): void {
    if (typeof outcome === "object") return this.#stepDown(outcome.newerTerm);
    if (!this.#isLeading) return;
    this.#post({ type: "orderEnded", ...sent, result: outcome });
  }

  #logPlan(plan: ExpertPlan): void {
    const { phase } = this.#switch;
    this.#options.logger.log("mapPlanned", {
      version: phase.name === "idle" ? 0 : phase.version,
      choices: Math.round(
        (this.#demand.faded ?? []).reduce((sum, count) => sum + count, 0),
      ),
      windowMs: this.#pollIntervalMs,
      skewBefore: Number(plan.skewBefore.toFixed(2)),
      skewAfter: Number(plan.skewAfter.toFixed(2)),
      copies: plan.copies,
    });
  }
}

/** Orders of one step that differ by their ranks alone, together. */
function groupAlike(
  sends: readonly SendEffect[],
): readonly (readonly SendEffect[])[] {
  const groups = new Map<string, SendEffect[]>();
  for (const send of sends) {
    const { order, epoch, isForward, isDirect } = send;
    const subject = "step" in order ? order.step : order.version;
    const key = [order.kind, subject, epoch, isForward, isDirect].join("/");
    const group = groups.get(key) ?? [];
    group.push(send);
    groups.set(key, group);
  }
  return [...groups.values()];
}
