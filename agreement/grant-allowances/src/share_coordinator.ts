/**
 * The coordinator's side of the exchange of shares. For each organisation it
 * knows what entries offer, for how long each offer binds at least, and what
 * it has granted. It grants only what offers cover that outlast the loan, so
 * the sum in use never exceeds the limits whichever entry is paused or
 * replaced. Two coordinators at once do no harm, since a lender binds each
 * part of its share to one of them; so no fencing number is needed here.
 *
 * An offer's time counts from the coordinator's own stamp that came back with
 * it, which is before the offer was made. A loan's time counts at its borrower
 * from before it asked, which is before the coordinator read its clock.
 *
 * A coordinator keeps nothing: a new one starts without offers, and its
 * predecessor's stamps are strange to it.
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
    /** Until when the view is known to be fresh; nothing is granted later. */
    readonly type: "freshnessShown";
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

/** Opaque; made by `createDivisionState`. */
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
    case "freshnessShown":
      state.freshUntilMs = event.freshUntilMs;
      return [];
    case "entriesChanged":
      getOrCreateLedger(state, event.organisation).entries = event.entries;
      return [];
    case "tick":
      return [...state.ledgers.values()].flatMap((division) => {
        removeExpired(division, nowMs);
        return callForOffers(state, division, nowMs);
      });
  }
}

function answerAsk(
  state: ShareCoordinatorState,
  ask: AllowanceAsk,
  nowMs: number,
): readonly ShareCoordinatorEffect[] {
  const division = getOrCreateLedger(state, ask.organisation);
  removeExpired(division, nowMs);
  const participant = getOrCreateParticipant(division, ask);
  const isOwnStamp = ask.stamp?.incarnation === state.incarnation;
  const stampMs = isOwnStamp ? ask.stamp?.atMs : undefined;
  if (!participant.note(ask, { stampMs, nowMs })) return [];
  if (!isEmptyShare(ask.wanted)) {
    division.contendedUntilMs = nowMs + CONTENTION_WINDOW_MS;
  }
  const granted = nowMs < state.freshUntilMs
    ? decideGrant(division, participant, nowMs)
    : { share: NO_SHARE, untilMs: nowMs + LOAN_DURATION_MS };
  participant.grant(granted);
  if (!isCovered(division, nowMs)) {
    participant.revokeLast();
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
    contended: nowMs < division.contendedUntilMs,
  };
  return [
    { type: "send", to: ask.entry, message },
    ...callForOffers(state, division, nowMs),
  ];
}

/** Whether what binds the lenders covers all grants that may be in use. */
function isCovered(division: OrganisationLedger, nowMs: number): boolean {
  let bound = NO_SHARE;
  let granted = NO_SHARE;
  for (const participant of division.participants.values()) {
    bound = addShares(bound, participant.boundAt(nowMs));
    granted = addShares(granted, participant.grantedAt(nowMs));
  }
  return isWithin(granted, bound);
}

/** Calls on the entries that take no part while some entry is short. */
function callForOffers(
  state: ShareCoordinatorState,
  division: OrganisationLedger,
  nowMs: number,
): readonly ShareCoordinatorEffect[] {
  if (nowMs >= division.contendedUntilMs) return [];
  if (nowMs < division.calledAtMs + OFFER_CALL_INTERVAL_MS) return [];
  division.calledAtMs = nowMs;
  const exchanging = new Set(
    [...division.participants.values()]
      .filter((participant) => participant.isExchanging(nowMs))
      .map((participant) => participant.entry),
  );
  const message: AllowanceMessage = {
    type: "offersWanted",
    organisation: division.organisation,
    coordinator: state.coordinator,
    stamp: { incarnation: state.incarnation, atMs: nowMs },
  };
  return division.entries
    .filter((entry) => !exchanging.has(entry))
    .map((entry) => ({ type: "send", to: entry, message }));
}

function removeExpired(division: OrganisationLedger, nowMs: number): void {
  for (const [key, participant] of division.participants) {
    if (participant.forgetLapsed(nowMs)) division.participants.delete(key);
  }
}

function getOrCreateParticipant(
  division: OrganisationLedger,
  ask: AllowanceAsk,
): Participant {
  const key = `${ask.entry}/${ask.incarnation}`;
  const known = division.participants.get(key);
  if (known !== undefined) return known;
  const created = Participant.create(ask.entry);
  division.participants.set(key, created);
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
    calledAtMs: -Infinity,
  };
  state.ledgers.set(organisation, created);
  return created;
}
