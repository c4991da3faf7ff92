/**
 * Decides at one entry which requests are inside their organisation's
 * contract. An entry uses only what it holds of the limits at that moment: an
 * even part of them until it is told a holding, and then its reserved share
 * with the loans whose time has not come. The time is checked at each request,
 * so that a process that slept never acts on a loan that lapsed meanwhile.
 * Requests admitted under a share that lapses later run to their end.
 *
 * The state is opaque and changed in place; the same events give the same
 * effects.
 */

import { computeReservedShare } from "@dandelionbank/grant-allowances";
import type { Contract, ShareHolding, Step } from "@dandelionbank/types";
import { OrganisationLimits } from "./organisation_limits.ts";
import { PoolCapacity } from "./pool_capacity.ts";
import type {
  LimitEffect,
  LimitEvent,
  RequestArrived,
  RequestEnded,
} from "./types.ts";

const UNKNOWN_RETRY_MS = 1_000;

interface RunningRequest {
  readonly limits: OrganisationLimits;
  readonly pool: string;
  readonly estimatedTokens: number;
  readonly sinceMs: number;
}

/** Opaque; made by `createLimitState`. */
export interface LimitState {
  readonly organisations: Map<string, OrganisationLimits>;
  readonly holdings: Map<string, ShareHolding>;
  readonly pools: Map<string, PoolCapacity>;
  readonly running: Map<string, RunningRequest>;
  entry: string;
  entries: readonly string[];
}

export function createLimitState(entry: string): LimitState {
  return {
    organisations: new Map(),
    holdings: new Map(),
    pools: new Map(),
    running: new Map(),
    entry,
    entries: [entry],
  };
}

export function limitRequests(
  state: LimitState,
  event: LimitEvent,
  nowMs: number,
): Step<LimitState, LimitEffect> {
  return { state, effects: applyEvent(state, event, nowMs) };
}

function applyEvent(
  state: LimitState,
  event: LimitEvent,
  nowMs: number,
): readonly LimitEffect[] {
  switch (event.type) {
    case "requestArrived":
      return arrive(state, event, nowMs);
    case "requestEnded":
      return end(state, event, nowMs);
    case "contractChanged":
      return changeContract(state, event.contract, nowMs);
    case "contractRemoved":
      return removeContract(state, event.organisation);
    case "entriesChanged":
      state.entry = event.entry;
      state.entries = event.entries;
      return renewHoldings(state, nowMs);
    case "holdingChanged":
      state.holdings.set(event.organisation, event.holding);
      return renewHoldings(state, nowMs, event.organisation);
    case "capacityChanged":
      poolOf(state, event.pool).setLimit(event.concurrentRequests);
      return [];
    case "tick":
      return measureDemands(state, nowMs);
  }
}

function arrive(
  state: LimitState,
  event: RequestArrived,
  nowMs: number,
): readonly LimitEffect[] {
  const { requestId, organisation } = event;
  if (state.running.has(requestId)) {
    return [violation("requestBeginsOnce", requestId)];
  }
  const limits = state.organisations.get(organisation);
  if (limits === undefined || limits.removed) {
    return [{
      type: "refuse",
      requestId,
      code: "DANDELIONBANK_ORGANISATION_UNKNOWN",
      retryAfterMs: UNKNOWN_RETRY_MS,
    }];
  }
  limits.refresh(nowMs);
  const verdict = limits.check(event.estimatedTokens, nowMs);
  if (verdict !== undefined) return [{ type: "refuse", requestId, ...verdict }];
  const pool = poolOf(state, event.pool);
  if (!pool.hasRoom(limits.contract)) {
    return [{
      type: "refuse",
      requestId,
      code: "DANDELIONBANK_OVERLOADED",
      retryAfterMs: pool.retryAfterMs(nowMs),
    }];
  }
  return admit(state, { event, limits, pool, nowMs });
}

function admit(
  state: LimitState,
  { event, limits, pool, nowMs }: {
    readonly event: RequestArrived;
    readonly limits: OrganisationLimits;
    readonly pool: PoolCapacity;
    readonly nowMs: number;
  },
): readonly LimitEffect[] {
  limits.begin(event.estimatedTokens, nowMs);
  pool.begin(limits.contract);
  state.running.set(event.requestId, {
    limits,
    pool: event.pool,
    estimatedTokens: event.estimatedTokens,
    sinceMs: nowMs,
  });
  const admitted: LimitEffect = { type: "admit", requestId: event.requestId };
  if (limits.inFlight <= limits.share.concurrentRequests) return [admitted];
  return [
    admitted,
    violation("inFlightWithinShare", limits.contract.organisation),
  ];
}

function end(
  state: LimitState,
  event: RequestEnded,
  nowMs: number,
): readonly LimitEffect[] {
  const running = state.running.get(event.requestId);
  if (running === undefined) {
    return [violation("requestEndsOnce", event.requestId)];
  }
  state.running.delete(event.requestId);
  const { limits } = running;
  const { organisation } = limits.contract;
  const durationMs = nowMs - running.sinceMs;
  const excessTokens = event.actualTokens - running.estimatedTokens;
  limits.end({ excessTokens, durationMs }, nowMs);
  poolOf(state, running.pool).end(organisation, durationMs);
  if (limits.removed) removeContract(state, organisation);
  return [];
}

/** Keeps the count of what is in flight, since the contract may come back. */
function removeContract(
  state: LimitState,
  organisation: string,
): readonly LimitEffect[] {
  state.holdings.delete(organisation);
  const limits = state.organisations.get(organisation);
  if (limits === undefined) return [];
  limits.removed = true;
  if (limits.inFlight === 0) state.organisations.delete(organisation);
  return [];
}

function measureDemands(
  state: LimitState,
  nowMs: number,
): readonly LimitEffect[] {
  renewHoldings(state, nowMs);
  return [...state.organisations].flatMap(([organisation, limits]) => {
    const demand = limits.measureDemand(nowMs);
    if (demand === undefined) return [];
    return [{ type: "demandMeasured", organisation, demand }];
  });
}

function changeContract(
  state: LimitState,
  contract: Contract,
  nowMs: number,
): readonly LimitEffect[] {
  const holding = holdingOf(state, contract);
  const known = state.organisations.get(contract.organisation);
  if (known === undefined) {
    const limits = OrganisationLimits.create(contract, { holding, nowMs });
    limits.refresh(nowMs);
    state.organisations.set(contract.organisation, limits);
    return [];
  }
  known.contract = contract;
  known.removed = false;
  known.holding = holding;
  known.refresh(nowMs);
  return [];
}

function renewHoldings(
  state: LimitState,
  nowMs: number,
  organisation?: string,
): readonly LimitEffect[] {
  const found = organisation === undefined
    ? [...state.organisations.values()]
    : [state.organisations.get(organisation)];
  for (const limits of found) {
    if (limits === undefined) continue;
    limits.holding = holdingOf(state, limits.contract);
    limits.refresh(nowMs);
  }
  return [];
}

function holdingOf(state: LimitState, contract: Contract): ShareHolding {
  const told = state.holdings.get(contract.organisation);
  if (told !== undefined) return told;
  const reserved = computeReservedShare(contract, {
    organisation: contract.organisation,
    entry: state.entry,
    entries: state.entries,
  });
  return { reserved, lent: [], borrowed: [] };
}

function poolOf(state: LimitState, name: string): PoolCapacity {
  const known = state.pools.get(name);
  if (known !== undefined) return known;
  const created = PoolCapacity.create();
  state.pools.set(name, created);
  return created;
}

function violation(invariant: string, detail: string): LimitEffect {
  return { type: "invariantViolated", invariant, detail };
}
