/**
 * Membership of targets and their states, as seen by one process. Direct
 * observation of an agent takes precedence over the platform's list of VMs,
 * which lags: a target that answers is open even if it isn't listed, and a
 * target that doesn't answer is suspected even if it is listed. A target is
 * closed if it is stopped or leaving, or if it is both unresponsive and absent
 * from a list that is trusted.
 *
 * Processes may see different memberships. Since each agent admits or refuses
 * every attempt itself, a wrong state costs at most a wasted attempt.
 *
 * The state is opaque and mutated in place.
 */

import type { AgentRegistration, Step, VmListing } from "@dandelionbank/types";
import type {
  Member,
  MemberEffect,
  MemberEvent,
  MemberReason,
} from "./types.ts";
import { VmList } from "./vm_list.ts";

/** A target absent from the list is closed after being unresponsive this long. */
const GONE_AFTER_MS = 10_000;

interface KnownAgent {
  readonly registration: AgentRegistration;
  hasResponded: boolean;
  /** The agent reported that it takes no new work. */
  isLeaving: boolean;
  /** State in the last list with this VM; kept after the VM leaves the list. */
  isListedLeaving: boolean;
  unresponsiveSinceMs: number | undefined;
}

/** Opaque; created by `createMembershipState`. */
export interface MembershipState {
  readonly agents: Map<string, KnownAgent>;
  readonly vms: VmList;
  stoppedTargets: ReadonlySet<string>;
  /** False until the first list is received; absence is ignored before. */
  hasList: boolean;
  /** Fingerprint of the members last published. */
  lastPublished: string;
}

export function createMembershipState(): MembershipState {
  return {
    agents: new Map(),
    vms: VmList.create(),
    stoppedTargets: new Set(),
    hasList: false,
    lastPublished: "",
  };
}

export function updateMembership(
  state: MembershipState,
  event: MemberEvent,
  nowMs: number,
): Step<MembershipState, MemberEffect> {
  if (isRedundant(state, event)) return { state, effects: [] };
  const listEffects = applyEvent(state, event, nowMs);
  return { state, effects: [...listEffects, ...publishChanges(state, nowMs)] };
}

/** Fast path: most events report a response of an agent known to be responsive. */
function isRedundant(state: MembershipState, event: MemberEvent): boolean {
  if (event.type !== "agentResponded") return false;
  const agent = state.agents.get(event.target);
  return agent !== undefined && agent.hasResponded &&
    agent.unresponsiveSinceMs === undefined;
}

function applyEvent(
  state: MembershipState,
  event: MemberEvent,
  nowMs: number,
): readonly MemberEffect[] {
  switch (event.type) {
    case "agentsChanged":
      replaceAgents(state, event.agents);
      return [];
    case "stopsChanged":
      state.stoppedTargets = new Set(event.targets);
      return [];
    case "vmsListed":
      state.hasList = true;
      recordListedStates(state, event.vms);
      return state.vms.update(event.vms, nowMs).map((distrust) => ({
        type: "listDistrusted",
        ...distrust,
      }));
    case "agentResponded":
      updateAgent(state, event, (agent) => {
        agent.hasResponded = true;
        agent.unresponsiveSinceMs = undefined;
      });
      return [];
    case "agentUnresponsive":
      updateAgent(state, event, (agent) => {
        agent.unresponsiveSinceMs ??= nowMs;
      });
      return [];
    case "agentLeaving":
      updateAgent(state, event, (agent) => {
        agent.isLeaving = true;
      });
      return [];
    case "tick":
      return [];
  }
}

/** Replaces the agents; an agent with a new incarnation starts with no history. */
function replaceAgents(
  state: MembershipState,
  agents: readonly AgentRegistration[],
): void {
  const known = new Map(state.agents);
  state.agents.clear();
  for (const registration of agents) {
    const { name } = registration.target;
    const before = known.get(name);
    const isSame =
      before?.registration.incarnation === registration.incarnation;
    state.agents.set(name, {
      registration,
      hasResponded: isSame && before.hasResponded,
      isLeaving: isSame && before.isLeaving,
      isListedLeaving: isSame && before.isListedLeaving,
      unresponsiveSinceMs: isSame ? before.unresponsiveSinceMs : undefined,
    });
  }
}

function recordListedStates(
  state: MembershipState,
  vms: readonly VmListing[],
): void {
  for (const vm of vms) {
    const agent = state.agents.get(vm.name);
    if (agent !== undefined) agent.isListedLeaving = vm.state === "leaving";
  }
}

/** Updates an agent, unless the event is about another incarnation. */
function updateAgent(
  state: MembershipState,
  { target, incarnation }: {
    readonly target: string;
    readonly incarnation: string;
  },
  update: (agent: KnownAgent) => void,
): void {
  const agent = state.agents.get(target);
  if (agent?.registration.incarnation === incarnation) update(agent);
}

function publishChanges(
  state: MembershipState,
  nowMs: number,
): readonly MemberEffect[] {
  const members = [...state.agents.values()].map((agent) =>
    describeMember(state, agent, nowMs)
  );
  const fingerprint = members
    .map(({ name, pool, state, reason }) =>
      `${name} ${pool} ${state} ${reason}`
    )
    .join("\n");
  if (fingerprint === state.lastPublished) return [];
  state.lastPublished = fingerprint;
  return [{ type: "membersChanged", members }];
}

function describeMember(
  state: MembershipState,
  agent: KnownAgent,
  nowMs: number,
): Member {
  const { name, pool, dataCentre } = agent.registration.target;
  const reason = determineReason(state, agent, nowMs);
  return { name, pool, dataCentre, reason, state: STATE_BY_REASON[reason] };
}

const STATE_BY_REASON: Readonly<Record<MemberReason, Member["state"]>> = {
  answering: "open",
  listed: "open",
  unlisted: "suspected",
  unresponsive: "suspected",
  gone: "closed",
  stopped: "closed",
  leaving: "closed",
};

function determineReason(
  state: MembershipState,
  agent: KnownAgent,
  nowMs: number,
): MemberReason {
  const { name, dataCentre } = agent.registration.target;
  if (state.stoppedTargets.has(name)) return "stopped";
  if (agent.isLeaving || agent.isListedLeaving) return "leaving";
  const isAbsent = state.hasList && state.vms.isAbsent(name, nowMs);
  const { unresponsiveSinceMs } = agent;
  if (unresponsiveSinceMs === undefined) {
    if (agent.hasResponded) return "answering";
    return isAbsent ? "unlisted" : "listed";
  }
  const isTimedOut = nowMs >= unresponsiveSinceMs + GONE_AFTER_MS;
  const isTrusted = !state.vms.isDistrusted(dataCentre, nowMs);
  return isAbsent && isTimedOut && isTrusted ? "gone" : "unresponsive";
}
