/**
 * The entry's side of the exchange of shares. Each entry has a reserved share of
 * every contract that it serves, and may use it even if no other process is
 * reachable. An entry that needs more asks a coordinator; the coordinator calls
 * for offers from the other entries, which offer what they can spare for a
 * limited time. While every entry has enough, no messages are sent.
 */

import type {
  AllowanceAnswer,
  AllowanceMessage,
  LimitShare,
  OfferRequest,
  ShareHolding,
  Step,
} from "@dandelionbank/types";
import { HeldContract } from "./held_contract.ts";
import { isEmptyShare } from "./limit_share.ts";
import { EXCHANGE_INTERVAL_MS } from "./timing.ts";

export type ShareHolderEvent =
  | {
    readonly type: "contractChanged";
    readonly organisation: string;
    readonly limits: LimitShare;
  }
  | { readonly type: "contractRemoved"; readonly organisation: string }
  | {
    /** The entries that share the limits, the preferred coordinator first. */
    readonly type: "entriesChanged";
    readonly organisation: string;
    readonly entries: readonly string[];
  }
  | {
    /** Demand of the organisation's requests at this entry, including refused ones. */
    readonly type: "demandMeasured";
    readonly organisation: string;
    readonly demand: LimitShare;
  }
  | { readonly type: "answered"; readonly answer: AllowanceAnswer }
  | { readonly type: "offersWanted"; readonly call: OfferRequest }
  | {
    /** Time until which the view is known to be fresh; nothing is lent after it. */
    readonly type: "freshnessUpdated";
    readonly freshUntilMs: number;
  }
  | { readonly type: "tick" };

export type ShareHolderEffect =
  | {
    readonly type: "send";
    readonly to: string;
    readonly message: AllowanceMessage;
  }
  | {
    readonly type: "holdingChanged";
    readonly organisation: string;
    readonly holding: ShareHolding;
  };

export interface ShareHolderOptions {
  readonly entry: string;
  readonly incarnation: string;
  /**
   * Longest time for which a replaced list of entries may still be in use, by an
   * entry with a stale view or through a loan that such an entry made.
   */
  readonly settleMs: number;
}

/** Opaque; created by `createShareHolder`. */
export interface ShareHolderState {
  readonly options: ShareHolderOptions;
  readonly contracts: Map<string, HeldContract>;
  sequence: number;
  freshUntilMs: number;
}

export function createShareHolder(
  options: ShareHolderOptions,
): ShareHolderState {
  return {
    options,
    contracts: new Map(),
    sequence: 0,
    freshUntilMs: -Infinity,
  };
}

export function stepShareHolder(
  state: ShareHolderState,
  event: ShareHolderEvent,
  nowMs: number,
): Step<ShareHolderState, ShareHolderEffect> {
  return { state, effects: applyEvent(state, event, nowMs) };
}

function applyEvent(
  state: ShareHolderState,
  event: ShareHolderEvent,
  nowMs: number,
): readonly ShareHolderEffect[] {
  switch (event.type) {
    case "contractChanged": {
      const contract = getOrCreateContract(state, event.organisation);
      contract.reserved.setLimits(event.limits);
      contract.limitLoans();
      return [reportHolding(event.organisation, contract, nowMs)];
    }
    case "contractRemoved":
      state.contracts.delete(event.organisation);
      return [];
    case "entriesChanged": {
      const contract = getOrCreateContract(state, event.organisation);
      contract.reserved.setEntries(event.entries, nowMs);
      return [reportHolding(event.organisation, contract, nowMs)];
    }
    case "demandMeasured":
      getOrCreateContract(state, event.organisation).demand = event.demand;
      return askIfDue(state, event.organisation, nowMs);
    case "answered":
      return handleAnswer(state, event.answer, nowMs);
    case "offersWanted":
      return handleOfferCall(state, event.call, nowMs);
    case "freshnessUpdated":
      state.freshUntilMs = event.freshUntilMs;
      return [];
    case "tick":
      return [...state.contracts].flatMap(([organisation, contract]) => [
        reportHolding(organisation, contract, nowMs),
        ...askIfDue(state, organisation, nowMs),
      ]);
  }
}

/** Sends an ask if this or another entry needs more and an ask is due. */
function askIfDue(
  state: ShareHolderState,
  organisation: string,
  nowMs: number,
): readonly ShareHolderEffect[] {
  const contract = getOrCreateContract(state, organisation);
  if (!contract.contended && isEmptyShare(contract.wantedAt(nowMs))) return [];
  const isDue = nowMs >= contract.askedAtMs + EXCHANGE_INTERVAL_MS ||
    contract.hasNewUnmetDemand(nowMs);
  if (!isDue) return [];
  return sendAsk(state, organisation, nowMs);
}

function sendAsk(
  state: ShareHolderState,
  organisation: string,
  nowMs: number,
): readonly ShareHolderEffect[] {
  const contract = getOrCreateContract(state, organisation);
  const coordinator = contract.coordinatorSelector.select(
    contract.reserved.entries,
    nowMs,
  );
  if (coordinator === undefined) return [];
  contract.coordinatorSelector.recordAsk(coordinator, nowMs);
  const { entry, incarnation } = state.options;
  const sequence = state.sequence++;
  const message = contract.createAsk(
    { organisation, entry, incarnation, sequence },
    { coordinator, mayLend: nowMs < state.freshUntilMs, nowMs },
  );
  return [
    { type: "send", to: coordinator, message },
    reportHolding(organisation, contract, nowMs),
  ];
}

/**
 * Confirms a loan that became smaller at once: until then the coordinator must
 * assume that the larger one is in use and can't lend the difference to others.
 */
function handleAnswer(
  state: ShareHolderState,
  answer: AllowanceAnswer,
  nowMs: number,
): readonly ShareHolderEffect[] {
  const { organisation, coordinator, stamp, contended } = answer;
  const contract = state.contracts.get(organisation);
  if (contract === undefined) return [];
  const result = contract.applyAnswer(answer);
  if (result === "late") return [];
  contract.recordStamp(coordinator, { stamp, nowMs });
  contract.coordinatorSelector.recordAnswer(coordinator, nowMs);
  contract.contended = contended;
  const holdingChange = reportHolding(organisation, contract, nowMs);
  if (result === "larger") return [holdingChange];
  return [holdingChange, ...sendAsk(state, organisation, nowMs)];
}

function handleOfferCall(
  state: ShareHolderState,
  call: OfferRequest,
  nowMs: number,
): readonly ShareHolderEffect[] {
  const contract = state.contracts.get(call.organisation);
  if (contract === undefined) return [];
  contract.recordStamp(call.coordinator, { stamp: call.stamp, nowMs });
  contract.coordinatorSelector.recordOfferCall(call.coordinator, {
    entries: contract.reserved.entries,
    nowMs,
  });
  contract.contended = true;
  return sendAsk(state, call.organisation, nowMs);
}

function reportHolding(
  organisation: string,
  contract: HeldContract,
  nowMs: number,
): ShareHolderEffect {
  return {
    type: "holdingChanged",
    organisation,
    holding: contract.holdingAt(nowMs),
  };
}

function getOrCreateContract(
  state: ShareHolderState,
  organisation: string,
): HeldContract {
  const known = state.contracts.get(organisation);
  if (known !== undefined) return known;
  const { entry, settleMs } = state.options;
  const created = HeldContract.create({ organisation, entry, settleMs });
  state.contracts.set(organisation, created);
  return created;
}
