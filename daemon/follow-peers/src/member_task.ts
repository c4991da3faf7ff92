/**
 * Runs the membership core (`track-members`), which determines the targets that
 * accept work. It combines the platform's list of VMs, which lags behind, with the
 * status that agents report and with their failure to answer.
 */

import {
  createMembershipState,
  type Member,
  type MemberEffect,
  type MemberEvent,
  type MembershipState,
  updateMembership,
} from "@dandelionbank/track-members";
import type { Logger } from "@dandelionbank/log-events";
import { CoreRunner } from "@dandelionbank/run-core";
import type { View, VmListing } from "@dandelionbank/types";

/** Interval at which the platform's VMs are listed. */
const LIST_INTERVAL_MS = 2_000;

export interface MemberTaskOptions {
  readonly logger: Logger;
  readonly listVms: () => Promise<readonly VmListing[]>;
  readonly onMembers: (members: readonly Member[]) => void;
}

export class MemberTask {
  readonly #options: MemberTaskOptions;
  readonly #runner: CoreRunner<MembershipState, MemberEvent, MemberEffect>;
  readonly #timer: NodeJS.Timeout;
  readonly #leaving = new Set<string>();
  #view: View | undefined;
  #isListing = false;

  private constructor(options: MemberTaskOptions) {
    this.#options = options;
    this.#runner = CoreRunner.create({
      initial: createMembershipState(),
      step: updateMembership,
      perform: (effect) => this.#perform(effect),
      readNowMs: () => performance.now(),
    });
    this.#timer = setInterval(() => void this.#tick(), LIST_INTERVAL_MS);
  }

  static create(options: MemberTaskOptions): MemberTask {
    return new MemberTask(options);
  }

  /** Whether the platform lists the target's VM as leaving. */
  isLeaving(target: string): boolean {
    return this.#leaving.has(target);
  }

  applyView(view: View): void {
    const before = this.#view;
    this.#view = view;
    if (before?.agents !== view.agents) {
      const agents = [...view.agents.values()].map(({ value }) => value);
      this.#runner.post({ type: "agentsChanged", agents });
    }
    if (before?.stops !== view.stops) {
      this.#runner.post({
        type: "stopsChanged",
        targets: [...view.stops.keys()],
      });
    }
  }

  recordStatus(agent: {
    readonly target: string;
    readonly incarnation: string;
    readonly isLeaving: boolean;
  }): void {
    const { target, incarnation, isLeaving } = agent;
    const type = isLeaving ? "agentLeaving" : "agentResponded";
    this.#runner.post({ type, target, incarnation });
  }

  recordNoAnswer(target: string, incarnation: string): void {
    this.#runner.post({ type: "agentUnresponsive", target, incarnation });
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#runner.stop();
  }

  async #tick(): Promise<void> {
    this.#runner.post({ type: "tick" });
    if (this.#isListing) return;
    this.#isListing = true;
    try {
      this.#applyVms(await this.#options.listVms());
    } catch {
      // Keeps the last list; failing connections still reveal lost targets.
    }
    this.#isListing = false;
  }

  #applyVms(vms: readonly VmListing[]): void {
    this.#leaving.clear();
    for (const { name, state } of vms) {
      if (state === "leaving") this.#leaving.add(name);
    }
    this.#runner.post({ type: "vmsListed", vms });
  }

  #perform(effect: MemberEffect): void {
    if (effect.type === "membersChanged") {
      return this.#options.onMembers(effect.members);
    }
    const { dataCentre, vanished } = effect;
    this.#options.logger.log("vmListDistrusted", { dataCentre, vanished });
  }
}
