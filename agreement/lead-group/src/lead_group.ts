/**
 * Which agent coordinates a group. An agent that hears no coordinator for a
 * while takes the duty with a higher term; agents wait the longer the higher
 * their rank, so that seldom two begin at once.
 *
 * Safety does not rest on there being one: an agent passes orders to its rank
 * only for the highest term that it has heard of, and a coordinator begins a
 * switch only when every agent has answered to its own term.
 */

/** The agents' name for who coordinates. */
export interface Leadership {
  /** Rises with each coordinator. */
  readonly term: number;
  readonly coordinator: string;
  /** The coordinator's own rank. */
  readonly rank: number;
}

/** Opaque; changed in place. */
export interface LeadershipState {
  readonly name: string;
  latest: Leadership;
  lastContactMs: number;
  isLeading: boolean;
}

/** Choices come from all ranks so often; passes take some tens of ms. */
const POLL_INTERVAL_MS = 250;
/** A poll by relays takes half a ms and 0.6 KB of the link for each rank. */
const POLL_INTERVAL_PER_RANK_MS = 3.5;
/** Looks without a word of the coordinator after which rank 0 takes over. */
const SILENT_POLLS = 2.8;
/** Added for each rank: longer than a new coordinator takes to be heard. */
const RANK_STAGGER_MS = 400;
/** Ranks above this wait hardly longer; all below would have to be lost. */
const STAGGERED_RANKS = 12;
const HIGH_RANK_STAGGER_MS = 50;
/** Terms are made of the second and the rank, which makes them unique. */
const RANKS_PER_TERM = 1_024;
const MS_PER_S = 1_000;
const NO_LEADERSHIP: Leadership = { term: 0, coordinator: "", rank: -1 };
/** Terms by the time of day begin again after so many seconds, some years. */
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

/** An agent waits its turn from when it knows its rank. */
export function restartElectionTimeout(
  state: LeadershipState,
  nowMs: number,
): void {
  state.lastContactMs = Math.max(state.lastContactMs, nowMs);
}

/** Takes a coordinator's call in; false if a newer one is known. */
export function followCoordinator(
  state: LeadershipState,
  { leadership, nowMs }: {
    readonly leadership: Leadership;
    readonly nowMs: number;
  },
): boolean {
  const { term, coordinator } = leadership;
  if (term < state.latest.term) return false;
  const isOther = coordinator !== state.latest.coordinator;
  if (term === state.latest.term && isOther) return false;
  if (coordinator !== state.name) state.isLeading = false;
  state.latest = leadership;
  state.lastContactMs = nowMs;
  return true;
}

/** Steps down before a newer term that another agent has told of. */
export function adoptNewerTerm(state: LeadershipState, term: number): void {
  if (term <= state.latest.term) return;
  state.isLeading = false;
  state.latest = { ...NO_LEADERSHIP, term };
}

/** How often the coordinator of a group polls all ranks. */
export function computePollIntervalMs(groupSize: number): number {
  return Math.max(POLL_INTERVAL_MS, groupSize * POLL_INTERVAL_PER_RANK_MS);
}

/** Takes the duty if no coordinator was heard for long enough. */
export function claimLeadershipOnTimeout(
  state: LeadershipState,
  { rank, groupSize, nowMs, wallMs }: {
    readonly rank: number;
    readonly groupSize: number;
    readonly nowMs: number;
    /** Time of day; makes terms of agents that know of none unique. */
    readonly wallMs: number;
  },
): boolean {
  if (state.isLeading) return false;
  const waitMs = SILENT_POLLS * computePollIntervalMs(groupSize) +
    Math.min(rank, STAGGERED_RANKS) * RANK_STAGGER_MS +
    Math.max(0, rank - STAGGERED_RANKS) * HIGH_RANK_STAGGER_MS;
  if (nowMs - state.lastContactMs < waitMs) return false;
  const bySecond = Math.floor(wallMs / MS_PER_S) % TERM_SECONDS *
      RANKS_PER_TERM + rank;
  const above = (Math.floor(state.latest.term / RANKS_PER_TERM) + 1) *
      RANKS_PER_TERM + rank;
  const term = Math.max(bySecond, above);
  state.latest = { term, coordinator: state.name, rank };
  state.lastContactMs = nowMs;
  state.isLeading = true;
  return true;
}
