/**
 * The coordinator's side of the exchange of shares. In an ask, an entry states
 * how much it wants to borrow and how much it offers to lend; the answer grants
 * a loan. For each organisation the coordinator records what the entries offer,
 * the minimum time for which each offer binds, and what it has granted. A grant
 * is covered only by offers that outlast the loan, so the sum in use never
 * exceeds the limits, even if entries are paused or replaced. Several
 * coordinators at a time are safe, since a lender offers each part of its share
 * to only one of them; no fencing number is needed.
 *
 * The duration of an offer is counted from the coordinator's own stamp, a
 * reading of its clock, which the offer returns and which is earlier than the
 * offer itself. The borrower counts the duration of a loan from the time it
 * asked, which is earlier than the time the coordinator read its clock.
 *
 * A coordinator stores nothing: a new one starts without offers and ignores the
 * stamps of its predecessor.
 */

import type {
  AllowanceAnswer,
  AllowanceAsk,
  AllowanceMessage,
  LimitShare,
  Step,
} from "@dandelionbank/types";
import { decideGrant } from "./decide_grant.ts";
import type { OrganisationLedger } from "./decide_grant.ts";
import { addShares, isEmptyShare, isWithin, NO_SHARE } from "./limit_share.ts";
import { Participant } from "./participant.ts";
import {
  CONTENTION_WINDOW_MS,
  LOAN_DURATION_MS,
  OFFER_CALL_INTERVAL_MS,
} from "./timing.ts";

export type ShareCoordinatorEvent =
  | { readonly type: "asked"; readonly ask: AllowanceAsk }
  | {
    readonly type: "contractChanged";
    readonly organisation: string;
    readonly limits: LimitShare;
  }
  | {
    /** Time until which the view is known to be fresh; nothing is granted after it. */
    readonly type: "freshnessUpdated";
    readonly freshUntilMs: number;
  }
  | {
    /** The entries that share the organisation's limits. */
    readonly type: "entriesChanged";
    readonly organisation: string;
    readonly entries: readonly string[];
  }
  | { readonly type: "tick" };

export type ShareCoordinatorEffect =
  | {
    readonly type: "send";
    readonly to: string;
    readonly message: AllowanceMessage;
  }
  | {
    readonly type: "invariantViolated";
    readonly invariant: string;
    readonly detail: string;
  };

/** Opaque; created by `createShareCoordinator`. */
export interface ShareCoordinatorState {
  readonly coordinator: string;
  readonly incarnation: string;
  readonly ledgers: Map<string, OrganisationLedger>;
  freshUntilMs: number;
}

export function createShareCoordinator(
  options: { readonly coordinator: string; readonly incarnation: string },
): ShareCoordinatorState {
  return { ...options, ledgers: new Map(), freshUntilMs: -Infinity };
}

export function stepShareCoordinator(
  state: ShareCoordinatorState,
  event: ShareCoordinatorEvent,
  nowMs: number,
): Step<ShareCoordinatorState, ShareCoordinatorEffect> {
  return { state, effects: applyEvent(state, event, nowMs) };
}

function applyEvent(
  state: ShareCoordinatorState,
  event: ShareCoordinatorEvent,
  nowMs: number,
): readonly ShareCoordinatorEffect[] {
  switch (event.type) {
    case "asked":
      return answerAsk(state, event.ask, nowMs);
    case "contractChanged":
      getOrCreateLedger(state, event.organisation).limits = event.limits;
      return [];
    case "freshnessUpdated":
      state.freshUntilMs = event.freshUntilMs;
      return [];
    case "entriesChanged":
      getOrCreateLedger(state, event.organisation).entries = event.entries;
      return [];
    case "tick":
      return [...state.ledgers.values()].flatMap((ledger) => {
        removeExpired(ledger, nowMs);
        return callForOffers(state, ledger, nowMs);
      });
  }
}

function answerAsk(
  state: ShareCoordinatorState,
  ask: AllowanceAsk,
  nowMs: number,
): readonly ShareCoordinatorEffect[] {
  const ledger = getOrCreateLedger(state, ask.organisation);
  removeExpired(ledger, nowMs);
  const participant = getOrCreateParticipant(ledger, ask);
  const isOwnStamp = ask.stamp?.incarnation === state.incarnation;
  const stampMs = isOwnStamp ? ask.stamp?.atMs : undefined;
  if (!participant.recordAsk(ask, { stampMs, nowMs })) return [];
  if (!isEmptyShare(ask.wanted)) {
    ledger.contendedUntilMs = nowMs + CONTENTION_WINDOW_MS;
  }
  const granted = nowMs < state.freshUntilMs
    ? decideGrant(ledger, participant, nowMs)
    : { share: NO_SHARE, untilMs: nowMs + LOAN_DURATION_MS };
  participant.recordGrant(granted);
  if (!isCovered(ledger, nowMs)) {
    participant.revokeLastGrant();
    return [{
      type: "invariantViolated",
      invariant: "grantsWithinOffers",
      detail: `${ask.organisation} to ${ask.entry}`,
    }];
  }
  const message: AllowanceAnswer = {
    type: "allowanceAnswer",
    organisation: ask.organisation,
    coordinator: state.coordinator,
    stamp: { incarnation: state.incarnation, atMs: nowMs },
    sequence: ask.sequence,
    granted: granted.share,
    termMs: granted.untilMs - nowMs,
    contended: nowMs < ledger.contendedUntilMs,
  };
  return [
    { type: "send", to: ask.entry, message },
    ...callForOffers(state, ledger, nowMs),
  ];
}

/** Whether the offers in force cover all grants that may be in use. */
function isCovered(ledger: OrganisationLedger, nowMs: number): boolean {
  let offered = NO_SHARE;
  let granted = NO_SHARE;
  for (const participant of ledger.participants.values()) {
    offered = addShares(offered, participant.offeredAt(nowMs));
    granted = addShares(granted, participant.grantedAt(nowMs));
  }
  return isWithin(granted, offered);
}

/** Calls for offers from entries that don't take part while another one needs more. */
function callForOffers(
  state: ShareCoordinatorState,
  ledger: OrganisationLedger,
  nowMs: number,
): readonly ShareCoordinatorEffect[] {
  if (nowMs >= ledger.contendedUntilMs) return [];
  if (nowMs < ledger.lastOfferCallAtMs + OFFER_CALL_INTERVAL_MS) return [];
  ledger.lastOfferCallAtMs = nowMs;
  const exchanging = new Set(
    [...ledger.participants.values()]
      .filter((participant) => participant.isExchanging(nowMs))
      .map((participant) => participant.entry),
  );
  const message: AllowanceMessage = {
    type: "offersWanted",
    organisation: ledger.organisation,
    coordinator: state.coordinator,
    stamp: { incarnation: state.incarnation, atMs: nowMs },
  };
  return ledger.entries
    .filter((entry) => !exchanging.has(entry))
    .map((entry) => ({ type: "send", to: entry, message }));
}

function removeExpired(ledger: OrganisationLedger, nowMs: number): void {
  for (const [key, participant] of ledger.participants) {
    if (participant.removeExpired(nowMs)) ledger.participants.delete(key);
  }
}

function getOrCreateParticipant(
  ledger: OrganisationLedger,
  ask: AllowanceAsk,
): Participant {
  const key = `${ask.entry}/${ask.incarnation}`;
  const known = ledger.participants.get(key);
  if (known !== undefined) return known;
  const created = Participant.create(ask.entry);
  ledger.participants.set(key, created);
  return created;
}

function getOrCreateLedger(
  state: ShareCoordinatorState,
  organisation: string,
): OrganisationLedger {
  const known = state.ledgers.get(organisation);
  if (known !== undefined) return known;
  const created: OrganisationLedger = {
    organisation,
    limits: NO_SHARE,
    participants: new Map(),
    entries: [],
    contendedUntilMs: -Infinity,
    lastOfferCallAtMs: -Infinity,
  };
  state.ledgers.set(organisation, created);
  return created;
}
