/**
 * Coordinates one group while this agent has the duty: looks at all ranks,
 * follows which experts are in demand, plans maps and switches to them.
 */

import {
  type Leadership,
  type LeadState,
  noteNewerTerm,
  readLookInterval,
} from "@dandelionbank/lead-group";
import type { Logger } from "@dandelionbank/log-events";
import {
  createFirstMap,
  createFollowedDemand,
  type ExpertPlan,
  type FollowedDemand,
  isChangeWorthwhile,
  limitCopies,
  noteChoices,
  planExperts,
  readDemand,
} from "@dandelionbank/plan-experts";
import { decodeCounts, type PollReply } from "@dandelionbank/rank-api";
import {
  createSwitch,
  isIdle,
  needsAllRanks,
  stepSwitch,
  type SwitchEffect,
  type SwitchEvent,
  type SwitchState,
} from "@dandelionbank/switch-group";
import { readInstant } from "@dandelionbank/read-instant";
import type {
  AgentOrders,
  ExpertMap,
  ExpertProfile,
  Instant,
  RankReport,
} from "@dandelionbank/types";
import { setTimeout as delay } from "node:timers/promises";
import type { RankLink } from "./rank_link.ts";

/** While experts are copied, which takes some hundred ms. */
const PREPARE_INTERVAL_MS = 50;
/** While the group may be held. */
const SWITCH_INTERVAL_MS = 15;
/** Sets below this are even enough; demand is not known better. */
const TARGET_SKEW = 1.15;
/** Shorter than agents wait before another takes the duty. */
const PROMISE_MS = 500;
/** How often a rank is read past an agent that does not answer. */
const READ_PAST_INTERVAL_MS = 1_000;
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

interface Poll {
  readonly link: RankLink;
  readonly reply: PollReply | undefined;
}

export class Coordinator {
  readonly #options: CoordinatorOptions;
  readonly #leadership: Leadership;
  readonly #switch: SwitchState;
  readonly #links = new Map<number, RankLink>();
  #demand: FollowedDemand = createFollowedDemand();
  #map: { readonly version: number; readonly map: ExpertMap } | undefined;
  #epoch = 0;
  #plan: ExpertPlan | undefined;
  #promisedAt: Instant | undefined;
  #lookedAtMs = 0;
  #readPastAtMs = Number.NEGATIVE_INFINITY;
  #phaseSinceMs = 0;

  private constructor(options: CoordinatorOptions) {
    this.#options = options;
    this.#leadership = options.lead.known;
    this.#switch = createSwitch({
      firstVersion: this.#leadership.term * VERSIONS_PER_TERM,
      ownRank: this.#leadership.rank,
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

  /** True if the agents were heard so lately that none can follow another. */
  get #isFresh(): boolean {
    if (this.#promisedAt === undefined) return false;
    const now = readInstant();
    const ageMs = Math.max(
      now.steadyMs - this.#promisedAt.steadyMs,
      now.wallMs - this.#promisedAt.wallMs,
    );
    return ageMs < PROMISE_MS;
  }

  get #isLeading(): boolean {
    const { lead } = this.#options;
    return lead.isLeading && lead.known.term === this.#leadership.term;
  }

  get #lookIntervalMs(): number {
    return readLookInterval(this.#switch.groupSize);
  }

  get #intervalMs(): number {
    const { name } = this.#switch.phase;
    if (name === "idle") return this.#lookIntervalMs;
    const isCopying = name === "preparing" || name === "settling";
    return isCopying ? PREPARE_INTERVAL_MS : SWITCH_INTERVAL_MS;
  }

  async #round(): Promise<void> {
    const nowMs = performance.now();
    const withChoices = nowMs - this.#lookedAtMs >= this.#lookIntervalMs;
    if (withChoices) this.#lookedAtMs = nowMs;
    const links = this.#options.listLinks();
    const polls = await Promise.all(links.map(async (link): Promise<Poll> => {
      const request = {
        leadership: this.#leadership,
        withChoices,
      };
      return { link, reply: await link.poll(request) };
    }));
    const reports = this.#takeReplies(polls);
    if (!this.#isLeading) return;
    this.#noteEpoch(reports);
    if (withChoices) this.#takeChoices(polls);
    const wasIdle = this.#switch.phase.name === "idle";
    const missing = await this.#readMissing(polls, reports);
    this.#post({
      type: "reported",
      reports: [...reports, ...missing],
      isFollowedByAll: missing.length === 0,
      agentOrders: readAgentOrders(polls),
    });
    if (reports.length > 0) this.#promisedAt = readInstant();
    // A change that is done makes room for the next at once.
    const mayPlan = withChoices || !wasIdle;
    if (mayPlan && isIdle(this.#switch)) await this.#planNext(reports);
  }

  #takeReplies(polls: readonly Poll[]): readonly RankReport[] {
    const reports: RankReport[] = [];
    for (const { link, reply } of polls) {
      if (reply?.kind === "newer") this.#stepDown(reply.term);
      if (reply?.kind !== "polled" || reply.report === undefined) continue;
      if (reply.report.group !== this.#options.group) continue;
      reports.push(reply.report);
      this.#links.set(reply.report.rank, link);
    }
    return reports;
  }

  /**
   * Ranks whose agents do not answer, read past them: at once while a pass is
   * held, and from time to time since any of them may hold one. Such calls are
   * dear.
   */
  async #readMissing(
    polls: readonly Poll[],
    reports: readonly RankReport[],
  ): Promise<readonly RankReport[]> {
    const groupSize = reports[0]?.groupSize ?? 0;
    if (reports.length >= groupSize) return [];
    const nowMs = performance.now();
    const isDue = nowMs - this.#readPastAtMs >= READ_PAST_INTERVAL_MS;
    if (!isDue && !needsAllRanks(this.#switch, reports)) return [];
    this.#readPastAtMs = nowMs;
    const links = polls.flatMap(({ link, reply }) =>
      reply === undefined ? [link] : []
    );
    const read = await Promise.all(links.map(async (link) => {
      const report = await link.readReport();
      if (report?.group !== this.#options.group) return [];
      this.#links.set(report.rank, link);
      return [report];
    }));
    const found = read.flat();
    const { group, logger } = this.#options;
    logger.log("ranksReadPast", {
      group,
      asked: links.length,
      found: found.length,
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

  /** A group that has formed anew chooses and counts from the beginning. */
  #noteEpoch(reports: readonly RankReport[]): void {
    const epoch = Math.max(this.#epoch, ...reports.map((each) => each.epoch));
    if (epoch === this.#epoch) return;
    this.#epoch = epoch;
    this.#map = undefined;
  }

  #takeChoices(polls: readonly Poll[]): void {
    let sum: number[] | undefined;
    for (const { reply } of polls) {
      if (reply?.kind !== "polled" || reply.choices === undefined) continue;
      if (reply.report?.group !== this.#options.group) continue;
      const counts = decodeCounts(reply.choices.counts);
      if (sum === undefined) sum = [...counts];
      else counts.forEach((count, index) => sum![index]! += count);
    }
    if (sum === undefined || sum.every((count) => count === 0)) return;
    noteChoices(this.#demand, { counts: sum, nowMs: performance.now() });
  }

  async #planNext(reports: readonly RankReport[]): Promise<void> {
    const profile = this.#options.readProfile();
    if (profile === undefined) return;
    const demand = readDemand(this.#demand, profile.expertsPerSet);
    const map = await this.#readMap(reports, profile);
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
    this.#plan = plan;
    this.#post({ type: "planned", map: plan.map });
    this.#logPlan(plan);
  }

  /** The map in force, from the ranks unless this coordinator set it. */
  async #readMap(
    reports: readonly RankReport[],
    profile: ExpertProfile,
  ): Promise<ExpertMap | undefined> {
    const version = reports[0]?.mapVersion;
    if (version === undefined) return undefined;
    if (reports.some(({ mapVersion }) => mapVersion !== version)) {
      return undefined;
    }
    if (this.#map?.version === version) return this.#map.map;
    const map = version === 0
      ? createFirstMap(profile, reports.length)
      : await this.#collectMap(reports, { version, profile });
    if (map !== undefined) this.#map = { version, map };
    return map;
  }

  async #collectMap(
    reports: readonly RankReport[],
    { version, profile }: {
      readonly version: number;
      readonly profile: ExpertProfile;
    },
  ): Promise<ExpertMap | undefined> {
    const ranks = await Promise.all(
      reports.map(({ rank }) => this.#links.get(rank)?.readExperts()),
    );
    const held = new Map(
      reports.map(({ rank }, index) => [rank, ranks[index]] as const),
    );
    const isComplete = [...held.values()].every((each) =>
      each?.version === version && each.epoch === this.#epoch
    );
    if (!isComplete) return undefined;
    return Array.from(
      { length: profile.layerSets },
      (_, set) =>
        Array.from(
          { length: reports.length },
          (_, rank) => held.get(rank)?.sets[set] ?? [],
        ),
    );
  }

  #post(event: SwitchEvent): void {
    const { effects } = stepSwitch(this.#switch, event, performance.now());
    for (const effect of effects) this.#perform(effect);
  }

  #perform(effect: SwitchEffect): void {
    if (effect.type === "send") {
      void this.#send(effect);
      return;
    }
    const { phase, version, epoch, step } = effect;
    const nowMs = performance.now();
    if (phase === "preparing") this.#phaseSinceMs = nowMs;
    this.#options.logger.log("switchAdvanced", {
      version,
      epoch,
      phase,
      step,
      elapsedMs: Math.round(nowMs - this.#phaseSinceMs),
    });
    if (phase === "switched" && this.#plan !== undefined) {
      this.#map = { version, map: this.#plan.map };
    }
    if (phase === "switched" || phase === "abandoned") this.#plan = undefined;
  }

  async #send(
    { rank, order, epoch, isForward, isDirect }: Extract<
      SwitchEffect,
      { readonly type: "send" }
    >,
  ): Promise<void> {
    const link = this.#links.get(rank);
    if (link === undefined || !this.#isLeading) return;
    // After a freeze another agent may have the duty; agents know, engines not.
    const mayPass = (isForward || isDirect) && this.#isFresh;
    if (isDirect && !mayPass) return;
    const result = await link.order({
      leadership: this.#leadership,
      order,
      epoch,
      way: isDirect ? "direct" : mayPass ? "agentOrDirect" : "agent",
    });
    if (typeof result === "object") return this.#stepDown(result.newerTerm);
    if (!this.#isLeading) return;
    this.#post({ type: "orderEnded", rank, order, epoch, result });
  }

  #logPlan(plan: ExpertPlan): void {
    const { phase } = this.#switch;
    this.#options.logger.log("mapPlanned", {
      version: phase.name === "idle" ? 0 : phase.version,
      choices: Math.round(
        (this.#demand.faded ?? []).reduce((sum, count) => sum + count, 0),
      ),
      windowMs: this.#lookIntervalMs,
      skewBefore: Number(plan.skewBefore.toFixed(2)),
      skewAfter: Number(plan.skewAfter.toFixed(2)),
      copies: plan.copies,
    });
  }
}

function readAgentOrders(
  polls: readonly Poll[],
): ReadonlyMap<number, AgentOrders> {
  return new Map(polls.flatMap(({ reply }) => {
    if (reply?.kind !== "polled" || reply.report === undefined) return [];
    return [[reply.report.rank, reply.orders] as const];
  }));
}
