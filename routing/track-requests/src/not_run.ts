/**
 * The only place that makes a `notRun` outcome, and only from proof.
 *
 * `ProvenNotRun` has a mark that no other module can write, so that the type
 * checker refuses a `notRun` made elsewhere.
 */

import type { NotRunOutcome, NotRunProof, Outcome } from "@dandelionbank/types";
import type { Attempt } from "./request.ts";

declare const PROVEN: unique symbol;

export type ProvenNotRun = NotRunOutcome & { readonly [PROVEN]: true };

export interface NotRunDetails {
  readonly code: string;
  readonly retryAfterMs: number;
}

/** What is known of a request's runs. */
export interface RunHistory {
  readonly attempts: readonly Attempt[];
  /** Whether its key may have run before these attempts. */
  readonly mayHaveRunBefore: boolean;
}

/** Proof that a request never ran, if there is one. */
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

/** Takes over the word of the home entry, the key's only arbiter. */
export function acceptFromHome(
  outcome: Exclude<Outcome, { kind: "answered" }>,
): Exclude<Outcome, { kind: "answered" | "notRun" }> | ProvenNotRun {
  return outcome.kind === "notRun" ? outcome as ProvenNotRun : outcome;
}
