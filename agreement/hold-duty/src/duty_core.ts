/**
 * State machine by which an entry acquires and loses one coordinator duty, a role
 * that one entry holds at a time. Each duty has an object on the platform, which
 * names its holder; only a change of holder is written, and there is no lease to
 * renew. A holder that was paused may still believe that it has the duty, so
 * every order carries its fencing number, and agents refuse orders with a lower
 * one. Pure: times are passed in, as milliseconds of a monotonic clock.
 */

import type { Step } from "@dandelionbank/types";
import type {
  Claim,
  ClaimReason,
  DutyEffect,
  DutyEvent,
  DutyObject,
  DutyOptions,
  DutyState,
} from "./duty_state.ts";
import { selectPreferred } from "./select_preferred.ts";

interface DutyDraft {
  state: DutyState;
  readonly effects: DutyEffect[];
  readonly nowMs: number;
}

export function startDuty(options: DutyOptions): DutyState {
  return { options, members: new Map(), claimCount: 0, claimNotBeforeMs: 0 };
}

export function stepDuty(
  state: DutyState,
  event: DutyEvent,
  nowMs: number,
): Step<DutyState, DutyEffect> {
  const draft: DutyDraft = { state, effects: [], nowMs };
  handleEvent(draft, event);
  evaluateClaim(draft);
  return { state: draft.state, effects: draft.effects };
}

function handleEvent(draft: DutyDraft, event: DutyEvent): void {
  switch (event.type) {
    case "membersChanged":
      draft.state = { ...draft.state, members: event.members };
      return;
    case "objectSeen":
      return applyObject(draft, event.object);
    case "written":
      return applyObject(draft, event.object);
    case "conflict":
      return handleConflict(draft, event.current);
    case "writeFailed":
      return postponeClaim(draft, event.changeId);
    case "tick":
      return;
  }
}

/** Applies a state of the duty's object unless it is older than the known one. */
function applyObject(draft: DutyDraft, object: DutyObject | null): void {
  const { object: known, claim } = draft.state;
  if (object === null) {
    if (known === undefined) draft.state = { ...draft.state, object };
    return;
  }
  if (known && object.revision < known.revision) return;
  draft.state = { ...draft.state, object };
  const settlesClaim = claim !== undefined &&
    (object.changeId === claim.changeId ||
      object.revision > (claim.expectedRevision ?? 0));
  if (settlesClaim) endClaim(draft);
  if (isHeldBySelf(draft.state, object)) acquireDuty(draft, object.revision);
  else loseDuty(draft);
}

/** Handles a write that found the object changed (or deleted) and was not applied. */
function handleConflict(draft: DutyDraft, current: DutyObject | null): void {
  endClaim(draft);
  const claimNotBeforeMs = draft.nowMs + draft.state.options.retryAfterMs;
  draft.state = { ...draft.state, claimNotBeforeMs };
  if (current === null) draft.state = { ...draft.state, object: null };
  else applyObject(draft, current);
}

/** Whether this process is the holder, also by a write whose answer was lost. */
function isHeldBySelf(state: DutyState, object: DutyObject): boolean {
  const { self } = state.options;
  return object.record.holder === self.holder &&
    object.record.incarnation === self.incarnation;
}

function acquireDuty(draft: DutyDraft, revision: number): void {
  const { fencingNumber } = draft.state;
  if (fencingNumber === revision) return;
  if (fencingNumber !== undefined && revision < fencingNumber) {
    const detail = `Fencing number ${revision} after ${fencingNumber}`;
    const invariant = "fencingNumberRises";
    draft.effects.push({ type: "invariantViolated", invariant, detail });
    return;
  }
  draft.state = { ...draft.state, fencingNumber: revision };
  draft.effects.push({ type: "held", fencingNumber: revision });
}

function loseDuty(draft: DutyDraft): void {
  const { fencingNumber, ...rest } = draft.state;
  if (fencingNumber === undefined) return;
  draft.state = rest;
  draft.effects.push({ type: "lost", fencingNumber });
}

/** Claims the duty once the reason to do so has lasted long enough. */
function evaluateClaim(draft: DutyDraft): void {
  const { claim, options } = draft.state;
  if (claim !== undefined) {
    retryClaim(draft, claim);
    return;
  }
  const kind = findClaimReason(draft.state);
  if (kind === undefined) {
    const { reason: _, ...rest } = draft.state;
    draft.state = rest;
    return;
  }
  const known = draft.state.reason;
  const reason = known?.kind === kind ? known : { kind, sinceMs: draft.nowMs };
  draft.state = { ...draft.state, reason };
  if (draft.nowMs < draft.state.claimNotBeforeMs) return;
  if (draft.nowMs - reason.sinceMs < getClaimDelayMs(options, kind)) return;
  const claimCount = draft.state.claimCount + 1;
  const { self, duty } = options;
  const changeId = `${duty}/${self.holder}/${self.incarnation}/${claimCount}`;
  draft.state = { ...draft.state, claimCount };
  sendClaim(draft, {
    changeId,
    expectedRevision: draft.state.object?.revision,
    retryAtMs: 0,
    isAwaitingAnswer: true,
  });
}

function findClaimReason(state: DutyState): ClaimReason["kind"] | undefined {
  const { options, members, object } = state;
  const { duty, hash, self } = options;
  if (object === undefined) return undefined;
  if (object !== null && isHeldBySelf(state, object)) return undefined;
  if (members.get(self.holder) !== self.incarnation) return undefined;
  const names = [...members.keys()];
  if (selectPreferred({ duty, members: names, hash }) !== self.holder) {
    return undefined;
  }
  if (object === null || object.record.holder === self.holder) return "free";
  const { holder, incarnation } = object.record;
  return members.get(holder) === incarnation ? "preferred" : "holderAbsent";
}

function getClaimDelayMs(
  options: DutyOptions,
  kind: ClaimReason["kind"],
): number {
  if (kind === "free") return 0;
  return kind === "preferred" ? options.handOverAfterMs : options.absentAfterMs;
}

function sendClaim(draft: DutyDraft, claim: Claim): void {
  const { changeId, expectedRevision } = claim;
  draft.state = { ...draft.state, claim };
  draft.effects.push({
    type: "write",
    record: draft.state.options.self,
    changeId,
    expectedRevision,
  });
}

/**
 * Retries the same change. If the first write took effect after all, the
 * conflict shows this change's own id.
 */
function retryClaim(draft: DutyDraft, claim: Claim): void {
  if (claim.isAwaitingAnswer || draft.nowMs < claim.retryAtMs) return;
  sendClaim(draft, { ...claim, isAwaitingAnswer: true });
}

function postponeClaim(draft: DutyDraft, changeId: string): void {
  const { claim, options } = draft.state;
  if (claim?.changeId !== changeId) return;
  const retryAtMs = draft.nowMs + options.retryAfterMs;
  draft.state = {
    ...draft.state,
    claim: { ...claim, isAwaitingAnswer: false, retryAtMs },
  };
}

function endClaim(draft: DutyDraft): void {
  const { claim: _, reason: __, ...rest } = draft.state;
  draft.state = rest;
}
