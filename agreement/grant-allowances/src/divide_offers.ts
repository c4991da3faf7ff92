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
import type { Division } from "./decide_grant.ts";
import { addShares, isNoShare, isWithin, NO_SHARE } from "./limit_share.ts";
import { Participant } from "./participant.ts";
import { CALL_FOR_OFFERS_MS, CONTENTION_MS, LOAN_MS } from "./timing.ts";

export type DivisionEvent =
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

export type DivisionEffect =
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
export interface DivisionState {
  readonly coordinator: string;
  readonly incarnation: string;
  readonly divisions: Map<string, Division>;
  freshUntilMs: number;
}

export function createDivisionState(
  options: { readonly coordinator: string; readonly incarnation: string },
): DivisionState {
  return { ...options, divisions: new Map(), freshUntilMs: -Infinity };
}

export function divideOffers(
  state: DivisionState,
  event: DivisionEvent,
  nowMs: number,
): Step<DivisionState, DivisionEffect> {
  return { state, effects: applyEvent(state, event, nowMs) };
}

function applyEvent(
  state: DivisionState,
  event: DivisionEvent,
  nowMs: number,
): readonly DivisionEffect[] {
  switch (event.type) {
    case "asked":
      return answer(state, event.ask, nowMs);
    case "contractChanged":
      divisionOf(state, event.organisation).limits = event.limits;
      return [];
    case "freshnessShown":
      state.freshUntilMs = event.freshUntilMs;
      return [];
    case "entriesChanged":
      divisionOf(state, event.organisation).entries = event.entries;
      return [];
    case "tick":
      return [...state.divisions.values()].flatMap((division) => {
        forgetLapsed(division, nowMs);
        return callForOffers(state, division, nowMs);
      });
  }
}

function answer(
  state: DivisionState,
  ask: AllowanceAsk,
  nowMs: number,
): readonly DivisionEffect[] {
  const division = divisionOf(state, ask.organisation);
  forgetLapsed(division, nowMs);
  const participant = participantOf(division, ask);
  const isOwnStamp = ask.stamp?.incarnation === state.incarnation;
  const stampMs = isOwnStamp ? ask.stamp?.atMs : undefined;
  if (!participant.note(ask, { stampMs, nowMs })) return [];
  if (!isNoShare(ask.wanted)) {
    division.contendedUntilMs = nowMs + CONTENTION_MS;
  }
  const granted = nowMs < state.freshUntilMs
    ? decideGrant(division, participant, nowMs)
    : { share: NO_SHARE, untilMs: nowMs + LOAN_MS };
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
function isCovered(division: Division, nowMs: number): boolean {
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
  state: DivisionState,
  division: Division,
  nowMs: number,
): readonly DivisionEffect[] {
  if (nowMs >= division.contendedUntilMs) return [];
  if (nowMs < division.calledAtMs + CALL_FOR_OFFERS_MS) return [];
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

function forgetLapsed(division: Division, nowMs: number): void {
  for (const [key, participant] of division.participants) {
    if (participant.forgetLapsed(nowMs)) division.participants.delete(key);
  }
}

function participantOf(division: Division, ask: AllowanceAsk): Participant {
  const key = `${ask.entry}/${ask.incarnation}`;
  const known = division.participants.get(key);
  if (known !== undefined) return known;
  const created = Participant.create(ask.entry);
  division.participants.set(key, created);
  return created;
}

function divisionOf(state: DivisionState, organisation: string): Division {
  const known = state.divisions.get(organisation);
  if (known !== undefined) return known;
  const created: Division = {
    organisation,
    limits: NO_SHARE,
    participants: new Map(),
    entries: [],
    contendedUntilMs: -Infinity,
    calledAtMs: -Infinity,
  };
  state.divisions.set(organisation, created);
  return created;
}
