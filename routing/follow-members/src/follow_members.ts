/**
 * Which targets there are and in what state, as one process sees them. What
 * an agent itself shows goes before what the platform's lagging list says: a
 * target that answers is open though it isn't listed, and one that is silent
 * is a last resort though it is. Only a target that is both silent and absent
 * from a list that can be trusted is closed, besides those that are stopped or
 * leaving. Views of several processes may differ; since an agent itself admits
 * or refuses each attempt, a wrong view costs a try and nothing else.
 *
 * The state is opaque and changed in place.
 */

import type { AgentRegistration, Step, VmListing } from "@dandelionbank/types";
import type {
  Member,
  MemberEffect,
  MemberEvent,
  MemberReason,
} from "./types.ts";
import { VmList } from "./vm_list.ts";

/** A target is closed when silent for so long and absent from the list. */
const GONE_AFTER_MS = 10_000;

interface KnownAgent {
  readonly registration: AgentRegistration;
  heard: boolean;
  /** By its own word. */
  leaving: boolean;
  /** By the list when it was listed last; a VM that left the list still is. */
  listedLeaving: boolean;
  silentSinceMs: number | undefined;
}

/** Opaque; made by `createMemberState`. */
export interface MembershipState {
  readonly agents: Map<string, KnownAgent>;
  readonly vms: VmList;
  stopped: ReadonlySet<string>;
  /** Until the first list has come, absence from it means nothing. */
  listed: boolean;
  told: string;
}

export function createMembershipState(): MembershipState {
  return {
    agents: new Map(),
    vms: VmList.create(),
    stopped: new Set(),
    listed: false,
    told: "",
  };
}

export function updateMembership(
  state: MembershipState,
  event: MemberEvent,
  nowMs: number,
): Step<MembershipState, MemberEffect> {
  if (isKnownAlready(state, event)) return { state, effects: [] };
  const noted = noteEvent(state, event, nowMs);
  return { state, effects: [...noted, ...tellMembers(state, nowMs)] };
}

/** Most events say that an agent still answers; they cost nothing. */
function isKnownAlready(state: MembershipState, event: MemberEvent): boolean {
  if (event.type !== "agentResponded") return false;
  const agent = state.agents.get(event.target);
  return agent !== undefined && agent.heard &&
    agent.silentSinceMs === undefined;
}

function noteEvent(
  state: MembershipState,
  event: MemberEvent,
  nowMs: number,
): readonly MemberEffect[] {
  switch (event.type) {
    case "agentsChanged":
      replaceAgents(state, event.agents);
      return [];
    case "stopsChanged":
      state.stopped = new Set(event.targets);
      return [];
    case "vmsListed":
      state.listed = true;
      noteListed(state, event.vms);
      return state.vms.update(event.vms, nowMs).map((distrust) => ({
        type: "listDistrusted",
        ...distrust,
      }));
    case "agentResponded":
      noteAgent(state, event, (agent) => {
        agent.heard = true;
        agent.silentSinceMs = undefined;
      });
      return [];
    case "agentUnresponsive":
      noteAgent(state, event, (agent) => {
        agent.silentSinceMs ??= nowMs;
      });
      return [];
    case "agentLeaving":
      noteAgent(state, event, (agent) => {
        agent.leaving = true;
      });
      return [];
    case "tick":
      return [];
  }
}

/** An agent with a new incarnation is a new one: nothing is known of it. */
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
      heard: isSame && before.heard,
      leaving: isSame && before.leaving,
      listedLeaving: isSame && before.listedLeaving,
      silentSinceMs: isSame ? before.silentSinceMs : undefined,
    });
  }
}

function noteListed(state: MembershipState, vms: readonly VmListing[]): void {
  for (const vm of vms) {
    const agent = state.agents.get(vm.name);
    if (agent !== undefined) agent.listedLeaving = vm.state === "leaving";
  }
}

/** What concerns a former incarnation says nothing about this one. */
function noteAgent(
  state: MembershipState,
  { target, incarnation }: {
    readonly target: string;
    readonly incarnation: string;
  },
  note: (agent: KnownAgent) => void,
): void {
  const agent = state.agents.get(target);
  if (agent?.registration.incarnation === incarnation) note(agent);
}

function tellMembers(
  state: MembershipState,
  nowMs: number,
): readonly MemberEffect[] {
  const members = [...state.agents.values()].map((agent) =>
    describeMember(state, agent, nowMs)
  );
  const told = members
    .map(({ name, pool, state, reason }) =>
      `${name} ${pool} ${state} ${reason}`
    )
    .join("\n");
  if (told === state.told) return [];
  state.told = told;
  return [{ type: "membersChanged", members }];
}

function describeMember(
  state: MembershipState,
  agent: KnownAgent,
  nowMs: number,
): Member {
  const { name, pool, dataCentre } = agent.registration.target;
  const reason = findReason(state, agent, nowMs);
  return { name, pool, dataCentre, reason, state: STATES[reason] };
}

const STATES: Readonly<Record<MemberReason, Member["state"]>> = {
  answering: "open",
  listed: "open",
  unlisted: "suspected",
  silent: "suspected",
  gone: "closed",
  stopped: "closed",
  leaving: "closed",
};

function findReason(
  state: MembershipState,
  agent: KnownAgent,
  nowMs: number,
): MemberReason {
  const { name, dataCentre } = agent.registration.target;
  if (state.stopped.has(name)) return "stopped";
  if (agent.leaving || agent.listedLeaving) return "leaving";
  const isAbsent = state.listed && state.vms.isAbsent(name, nowMs);
  const { silentSinceMs } = agent;
  if (silentSinceMs === undefined) {
    if (agent.heard) return "answering";
    return isAbsent ? "unlisted" : "listed";
  }
  const isLong = nowMs >= silentSinceMs + GONE_AFTER_MS;
  const isTrusted = !state.vms.isDistrusted(dataCentre, nowMs);
  return isAbsent && isLong && isTrusted ? "gone" : "silent";
}
