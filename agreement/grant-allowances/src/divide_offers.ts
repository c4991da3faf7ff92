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
  TimedShare,
} from "@dandelionbank/types";
import { fairCeiling } from "./divide_fairly.ts";
import {
  addShares,
  isNoShare,
  isWithin,
  minShares,
  NO_SHARE,
  roundDown,
  subtractShares,
} from "./limit_share.ts";
import { Participant } from "./participant.ts";
import {
  CALL_FOR_OFFERS_MS,
  CONTENTION_MS,
  LOAN_MS,
  SHORT_LOAN_MS,
} from "./timing.ts";

export type DivisionEvent =
  | { readonly type: "asked"; readonly ask: AllowanceAsk }
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

interface Division {
  readonly organisation: string;
  /** By entry and incarnation. */
  readonly participants: Map<string, Participant>;
  entries: readonly string[];
  contendedUntilMs: number;
  calledAtMs: number;
}

/** Opaque; made by `createDivisionState`. */
export interface DivisionState {
  readonly coordinator: string;
  readonly incarnation: string;
  readonly divisions: Map<string, Division>;
}

export function createDivisionState(
  options: { readonly coordinator: string; readonly incarnation: string },
): DivisionState {
  return { ...options, divisions: new Map() };
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
  const granted = decideGrant(division, participant, nowMs);
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

/**
 * The largest loan, and the longest of equal ones. A short one can be made
 * from what a lender that wants its share back is still bound to.
 */
function decideGrant(
  division: Division,
  participant: Participant,
  nowMs: number,
): TimedShare {
  const untilMs = nowMs + LOAN_MS;
  const long = sizeGrant(division, participant, { nowMs, untilMs });
  const shortUntilMs = nowMs + SHORT_LOAN_MS;
  const short = sizeGrant(division, participant, {
    nowMs,
    untilMs: shortUntilMs,
  });
  if (isWithin(short, long)) return { share: long, untilMs };
  return { share: short, untilMs: shortUntilMs };
}

function sizeGrant(
  division: Division,
  participant: Participant,
  { nowMs, untilMs }: { readonly nowMs: number; readonly untilMs: number },
): LimitShare {
  const wanted = participant.wantedAt(nowMs);
  if (isNoShare(wanted)) return NO_SHARE;
  let offered = NO_SHARE;
  let used = NO_SHARE;
  const wants: LimitShare[] = [];
  for (const other of division.participants.values()) {
    offered = addShares(offered, other.boundUntil(untilMs));
    wants.push(other.wantedAt(nowMs));
    if (other !== participant) used = addShares(used, other.grantedAt(nowMs));
  }
  const free = subtractShares(offered, used);
  const part = minShares(free, fairPart(wants, offered));
  return roundDown(minShares(wanted, part));
}

/** Whole requests are rounded up, since the free ones bound the grant anyway. */
function fairPart(
  wants: readonly LimitShare[],
  offered: LimitShare,
): LimitShare {
  return {
    requestsPerSecond: fairCeiling(
      wants.map((want) => want.requestsPerSecond),
      offered.requestsPerSecond,
    ),
    concurrentRequests: Math.ceil(fairCeiling(
      wants.map((want) => want.concurrentRequests),
      offered.concurrentRequests,
    )),
    tokensPerMinute: fairCeiling(
      wants.map((want) => want.tokensPerMinute),
      offered.tokensPerMinute,
    ),
  };
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
    participants: new Map(),
    entries: [],
    contendedUntilMs: -Infinity,
    calledAtMs: -Infinity,
  };
  state.divisions.set(organisation, created);
  return created;
}
