/**
 * The entry's side of the exchange of shares. Each entry has a reserved share
 * of every contract that it serves, and may use it whoever is reachable. An
 * entry that is short asks a coordinator for more; the coordinator calls on
 * the others, who offer what they can spare for a time. While every entry has
 * enough, nothing is sent at all.
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
    /** What the organisation's requests need here, refused ones included. */
    readonly type: "demandMeasured";
    readonly organisation: string;
    readonly demand: LimitShare;
  }
  | { readonly type: "answered"; readonly answer: AllowanceAnswer }
  | { readonly type: "offersWanted"; readonly call: OfferRequest }
  | {
    /** Until when the entry's view is known to be fresh; it lends nothing later. */
    readonly type: "freshnessShown";
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
   * Longest time for which a replaced list of entries may be in use, by an
   * entry whose view is stale or by a loan that such an entry made.
   */
  readonly settleMs: number;
}

/** Opaque; made by `createHoldingState`. */
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
      const held = heldOf(state, event.organisation);
      held.reserved.setLimits(event.limits);
      held.cutLoans();
      return [tellHolding(event.organisation, held, nowMs)];
    }
    case "contractRemoved":
      state.contracts.delete(event.organisation);
      return [];
    case "entriesChanged": {
      const held = heldOf(state, event.organisation);
      held.reserved.setEntries(event.entries, nowMs);
      return [tellHolding(event.organisation, held, nowMs)];
    }
    case "demandMeasured":
      heldOf(state, event.organisation).demand = event.demand;
      return exchange(state, event.organisation, nowMs);
    case "answered":
      return takeAnswer(state, event.answer, nowMs);
    case "offersWanted":
      return answerCall(state, event.call, nowMs);
    case "freshnessShown":
      state.freshUntilMs = event.freshUntilMs;
      return [];
    case "tick":
      return [...state.contracts].flatMap(([organisation, held]) => [
        tellHolding(organisation, held, nowMs),
        ...exchange(state, organisation, nowMs),
      ]);
  }
}

/** Asks, if the entry is short or others are, and it is time to. */
function exchange(
  state: ShareHolderState,
  organisation: string,
  nowMs: number,
): readonly ShareHolderEffect[] {
  const held = heldOf(state, organisation);
  if (!held.contended && isEmptyShare(held.wantedAt(nowMs))) return [];
  const isDue = nowMs >= held.askedAtMs + EXCHANGE_INTERVAL_MS ||
    held.isNewlyShort(nowMs);
  if (!isDue) return [];
  return ask(state, organisation, nowMs);
}

function ask(
  state: ShareHolderState,
  organisation: string,
  nowMs: number,
): readonly ShareHolderEffect[] {
  const held = heldOf(state, organisation);
  const coordinator = held.choice.choose(held.reserved.entries, nowMs);
  if (coordinator === undefined) return [];
  held.choice.noteAsked(coordinator, nowMs);
  const { entry, incarnation } = state.options;
  const sequence = state.sequence++;
  const message = held.writeAsk(
    { organisation, entry, incarnation, sequence },
    { coordinator, mayLend: nowMs < state.freshUntilMs, nowMs },
  );
  return [
    { type: "send", to: coordinator, message },
    tellHolding(organisation, held, nowMs),
  ];
}

/**
 * A loan that shrank is confirmed at once: until then the coordinator must
 * count on the larger one and can't give the difference to others.
 */
function takeAnswer(
  state: ShareHolderState,
  answer: AllowanceAnswer,
  nowMs: number,
): readonly ShareHolderEffect[] {
  const { organisation, coordinator, stamp, contended } = answer;
  const held = state.contracts.get(organisation);
  if (held === undefined) return [];
  const taken = held.takeAnswer(answer);
  if (taken === "late") return [];
  held.noteStamp(coordinator, { stamp, nowMs });
  held.choice.noteAnswered(coordinator, nowMs);
  held.contended = contended;
  const told = tellHolding(organisation, held, nowMs);
  if (taken === "larger") return [told];
  return [told, ...ask(state, organisation, nowMs)];
}

function answerCall(
  state: ShareHolderState,
  call: OfferRequest,
  nowMs: number,
): readonly ShareHolderEffect[] {
  const held = state.contracts.get(call.organisation);
  if (held === undefined) return [];
  held.noteStamp(call.coordinator, { stamp: call.stamp, nowMs });
  held.choice.noteCalled(call.coordinator, {
    entries: held.reserved.entries,
    nowMs,
  });
  held.contended = true;
  return ask(state, call.organisation, nowMs);
}

function tellHolding(
  organisation: string,
  held: HeldContract,
  nowMs: number,
): ShareHolderEffect {
  return {
    type: "holdingChanged",
    organisation,
    holding: held.holdingAt(nowMs),
  };
}

function heldOf(state: ShareHolderState, organisation: string): HeldContract {
  const known = state.contracts.get(organisation);
  if (known !== undefined) return known;
  const { entry, settleMs } = state.options;
  const created = HeldContract.create({ organisation, entry, settleMs });
  state.contracts.set(organisation, created);
  return created;
}
