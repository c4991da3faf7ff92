/**
 * Elects the agent that coordinates a group. An agent that has had no call from
 * a coordinator within its election timeout becomes coordinator under a higher
 * term. The timeout grows with the rank, so that two agents rarely do so at the
 * same time.
 *
 * Safety does not depend on there being only one coordinator: an agent passes
 * on orders to its rank only for the highest term that it knows, and a
 * coordinator starts a switch only once every agent has answered under the
 * coordinator's own term.
 */

/** The coordinator of a term. */
export interface Leadership {
  /** Name of the group that it coordinates; terms of other groups are unrelated. */
  readonly group: string;
  /** Increases with each new coordinator. */
  readonly term: number;
  readonly coordinator: string;
  /** The coordinator's own rank. */
  readonly rank: number;
}

/** Opaque; mutated in place. */
export interface LeadershipState {
  readonly name: string;
  /** Leadership of the highest term known. */
  latest: Leadership;
  lastContactMs: number;
  isLeading: boolean;
}

/** Interval at which expert choices are read; a pass takes tens of ms. */
const POLL_INTERVAL_MS = 250;
/** A poll through relays takes 0.5 ms and 0.6 KB of link traffic per rank. */
const POLL_INTERVAL_PER_RANK_MS = 3.5;
/** Poll intervals without contact after which rank 0 takes over. */
const MISSED_POLLS = 2.8;
/** Added per rank: longer than a new coordinator needs to contact all agents. */
const RANK_STAGGER_MS = 400;
/**
 * Ranks above this one get a small extra delay only: they take over only when
 * all ranks below have failed.
 */
const STAGGERED_RANKS = 12;
const HIGH_RANK_STAGGER_MS = 50;
/** A term is composed of a second and a rank, which makes it unique. */
const RANKS_PER_TERM = 1_024;
const MS_PER_S = 1_000;
const NO_LEADERSHIP: Leadership = {
  group: "",
  term: 0,
  coordinator: "",
  rank: -1,
};
/** The seconds in terms wrap around after this many, about 8.5 years. */
const TERM_SECONDS = 2 ** 28;

export function createLeadershipState(
  { name, nowMs }: { readonly name: string; readonly nowMs: number },
): LeadershipState {
  return {
    name,
    latest: NO_LEADERSHIP,
    lastContactMs: nowMs,
    isLeading: false,
  };
}

/**
 * Forgets the leadership of another group, once an agent has learned that its
 * rank belongs to this one. Returns whether there was one.
 */
export function joinGroup(
  state: LeadershipState,
  { group, nowMs }: { readonly group: string; readonly nowMs: number },
): boolean {
  if (state.latest.group === group) return false;
  const wasInGroup = state.latest.group !== NO_LEADERSHIP.group;
  state.latest = { ...NO_LEADERSHIP, group };
  state.isLeading = false;
  restartElectionTimeout(state, nowMs);
  return wasInGroup;
}

/** Restarts the election timeout, once an agent has learned its rank. */
export function restartElectionTimeout(
  state: LeadershipState,
  nowMs: number,
): void {
  state.lastContactMs = Math.max(state.lastContactMs, nowMs);
}

/**
 * Follows the coordinator that called. Returns false if another coordinator is
 * known for the same term or any for a higher one. The call must be for the
 * agent's own group.
 */
export function followCoordinator(
  state: LeadershipState,
  { leadership, nowMs }: {
    readonly leadership: Leadership;
    readonly nowMs: number;
  },
): boolean {
  const { term, coordinator } = leadership;
  if (term < state.latest.term) return false;
  const isOtherCoordinator = coordinator !== state.latest.coordinator;
  if (term === state.latest.term && isOtherCoordinator) return false;
  if (coordinator !== state.name) state.isLeading = false;
  state.latest = leadership;
  state.lastContactMs = nowMs;
  return true;
}

/** Steps down because another agent has reported a newer term. */
export function adoptNewerTerm(state: LeadershipState, term: number): void {
  if (term <= state.latest.term) return;
  state.isLeading = false;
  state.latest = { ...NO_LEADERSHIP, group: state.latest.group, term };
}

/** Interval at which the coordinator of a group polls all ranks. */
export function computePollIntervalMs(groupSize: number): number {
  return Math.max(POLL_INTERVAL_MS, groupSize * POLL_INTERVAL_PER_RANK_MS);
}

/** Becomes coordinator if the election timeout has passed; returns whether it did. */
export function claimLeadershipOnTimeout(
  state: LeadershipState,
  { rank, groupSize, nowMs, wallMs }: {
    readonly rank: number;
    readonly groupSize: number;
    readonly nowMs: number;
    /** Wall-clock time; makes terms unique among agents that know no term yet. */
    readonly wallMs: number;
  },
): boolean {
  if (state.isLeading) return false;
  const timeoutMs = MISSED_POLLS * computePollIntervalMs(groupSize) +
    Math.min(rank, STAGGERED_RANKS) * RANK_STAGGER_MS +
    Math.max(0, rank - STAGGERED_RANKS) * HIGH_RANK_STAGGER_MS;
  if (nowMs - state.lastContactMs < timeoutMs) return false;
  const termFromClock = Math.floor(wallMs / MS_PER_S) % TERM_SECONDS *
      RANKS_PER_TERM + rank;
  const nextTerm = (Math.floor(state.latest.term / RANKS_PER_TERM) + 1) *
      RANKS_PER_TERM + rank;
  const term = Math.max(termFromClock, nextTerm);
  const { group } = state.latest;
  state.latest = { group, term, coordinator: state.name, rank };
  state.lastContactMs = nowMs;
  state.isLeading = true;
  return true;
}
