/**
 * Creates `notRun` outcomes, which require a proof that the request never ran.
 *
 * `ProvenNotRun` is branded with a symbol private to this module, so that the
 * type checker rejects a `notRun` outcome created anywhere else.
 */

import type { NotRunOutcome, NotRunProof, Outcome } from "@dandelionbank/types";
import type { Attempt } from "./request.ts";

declare const PROVEN: unique symbol;

export type ProvenNotRun = NotRunOutcome & { readonly [PROVEN]: true };

export interface NotRunDetails {
  readonly code: string;
  readonly retryAfterMs: number;
}

/** The attempts from which a proof is derived. */
export interface RunHistory {
  readonly attempts: readonly Attempt[];
  /** Whether the key may have run before these attempts. */
  readonly mayHaveRunBefore: boolean;
}

/** Returns the proof that a request never ran, if there is one. */
export function proveNotRun(history: RunHistory): NotRunProof | undefined {
  if (history.mayHaveRunBefore) return undefined;
  let proof: NotRunProof = { kind: "neverDispatched" };
  for (const { attemptId, state } of history.attempts) {
    if (state === "unsent") continue;
    if (state !== "refused") return undefined;
    proof = { kind: "refusedByAgent", attemptId };
  }
  return proof;
}

export function createNotRun(
  history: RunHistory,
  reason: NotRunDetails,
): ProvenNotRun | undefined {
  const proof = proveNotRun(history);
  if (proof === undefined) return undefined;
  return { kind: "notRun", proof, ...reason } as ProvenNotRun;
}

/** Accepts an outcome from the home entry, the key's only arbiter, as proven. */
export function acceptFromHome(
  outcome: Exclude<Outcome, { kind: "answered" }>,
): Exclude<Outcome, { kind: "answered" | "notRun" }> | ProvenNotRun {
  return outcome.kind === "notRun" ? outcome as ProvenNotRun : outcome;
}
