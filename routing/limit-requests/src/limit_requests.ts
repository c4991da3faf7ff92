/**
 * Enforces organisations' contracts at one entry by admitting or refusing
 * requests. An entry uses only its current share of an organisation's limits:
 * an even share until it receives a holding, and then the holding's reserved
 * share adjusted by its unexpired loans. Expiry is checked at each request, so
 * that a process that was suspended never uses a loan that has expired
 * meanwhile. Requests admitted under a share that expires later run to
 * completion.
 *
 * The state is opaque and mutated in place; the same events produce the same
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

/** Retry time for an organisation that is unknown at this entry. */
const UNKNOWN_ORGANISATION_RETRY_MS = 1_000;

interface RunningRequest {
  readonly limits: OrganisationLimits;
  readonly pool: string;
  readonly estimatedTokens: number;
  readonly startedAtMs: number;
}

/** Opaque; created by `createLimitState`. */
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
      return admitOrRefuse(state, event, nowMs);
    case "requestEnded":
      return endRequest(state, event, nowMs);
    case "contractChanged":
      return changeContract(state, event.contract, nowMs);
    case "contractRemoved":
      return removeContract(state, event.organisation);
    case "entriesChanged":
      state.entry = event.entry;
      state.entries = event.entries;
      return updateHoldings(state, nowMs);
    case "holdingChanged":
      state.holdings.set(event.organisation, event.holding);
      return updateHoldings(state, nowMs, event.organisation);
    case "capacityChanged":
      getOrCreatePool(state, event.pool).setLimit(event.concurrentRequests);
      return [];
    case "tick":
      return measureDemands(state, nowMs);
  }
}

function admitOrRefuse(
  state: LimitState,
  event: RequestArrived,
  nowMs: number,
): readonly LimitEffect[] {
  const { requestId, organisation } = event;
  if (state.running.has(requestId)) {
    return [violation("requestBeginsOnce", requestId)];
  }
  const limits = state.organisations.get(organisation);
  if (limits === undefined || limits.isRemoved) {
    return [{
      type: "refuse",
      requestId,
      code: "DANDELIONBANK_ORGANISATION_UNKNOWN",
      retryAfterMs: UNKNOWN_ORGANISATION_RETRY_MS,
    }];
  }
  limits.refresh(nowMs);
  const refusal = limits.checkArrival(event.estimatedTokens, nowMs);
  if (refusal !== undefined) return [{ type: "refuse", requestId, ...refusal }];
  const pool = getOrCreatePool(state, event.pool);
  if (!pool.hasCapacity(limits.contract)) {
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
  limits.beginRequest(event.estimatedTokens, nowMs);
  pool.beginRequest(limits.contract);
  state.running.set(event.requestId, {
    limits,
    pool: event.pool,
    estimatedTokens: event.estimatedTokens,
    startedAtMs: nowMs,
  });
  const admitted: LimitEffect = { type: "admit", requestId: event.requestId };
  if (limits.inFlight <= limits.share.concurrentRequests) return [admitted];
  return [
    admitted,
    violation("inFlightWithinShare", limits.contract.organisation),
  ];
}

function endRequest(
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
  const durationMs = nowMs - running.startedAtMs;
  const excessTokens = event.actualTokens - running.estimatedTokens;
  limits.endRequest({ excessTokens, durationMs }, nowMs);
  getOrCreatePool(state, running.pool).endRequest(organisation, durationMs);
  if (limits.isRemoved) removeContract(state, organisation);
  return [];
}

/** Keeps the count of requests in flight, since the contract may be restored. */
function removeContract(
  state: LimitState,
  organisation: string,
): readonly LimitEffect[] {
  state.holdings.delete(organisation);
  const limits = state.organisations.get(organisation);
  if (limits === undefined) return [];
  limits.isRemoved = true;
  if (limits.inFlight === 0) state.organisations.delete(organisation);
  return [];
}

function measureDemands(
  state: LimitState,
  nowMs: number,
): readonly LimitEffect[] {
  updateHoldings(state, nowMs);
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
  const holding = getHolding(state, contract);
  const existing = state.organisations.get(contract.organisation);
  if (existing === undefined) {
    const limits = OrganisationLimits.create(contract, { holding, nowMs });
    limits.refresh(nowMs);
    state.organisations.set(contract.organisation, limits);
    return [];
  }
  existing.contract = contract;
  existing.isRemoved = false;
  existing.holding = holding;
  existing.refresh(nowMs);
  return [];
}

function updateHoldings(
  state: LimitState,
  nowMs: number,
  organisation?: string,
): readonly LimitEffect[] {
  const affected = organisation === undefined
    ? [...state.organisations.values()]
    : [state.organisations.get(organisation)];
  for (const limits of affected) {
    if (limits === undefined) continue;
    limits.holding = getHolding(state, limits.contract);
    limits.refresh(nowMs);
  }
  return [];
}

function getHolding(state: LimitState, contract: Contract): ShareHolding {
  const received = state.holdings.get(contract.organisation);
  if (received !== undefined) return received;
  const reserved = computeReservedShare(contract, {
    organisation: contract.organisation,
    entry: state.entry,
    entries: state.entries,
  });
  return { reserved, lent: [], borrowed: [] };
}

function getOrCreatePool(state: LimitState, name: string): PoolCapacity {
  const existing = state.pools.get(name);
  if (existing !== undefined) return existing;
  const created = PoolCapacity.create();
  state.pools.set(name, created);
  return created;
}

function violation(invariant: string, detail: string): LimitEffect {
  return { type: "invariantViolated", invariant, detail };
}
