/** Events, effects and options of the quarantine. */

export interface QuarantineOptions {
  /** How long a quarantined fingerprint is refused. */
  readonly quarantineMs: number;
  /** Time within which every entry has reported its losses with a target. */
  readonly settleMs: number;
  /** How long a lost target counts against the fingerprints that it ran. */
  readonly retentionMs: number;
  /** Maximum number of fingerprints tracked. */
  readonly maxFingerprints: number;
}

/** A target was lost while it ran a request. */
export interface TargetLoss {
  readonly fingerprint: string;
  readonly target: string;
  /** Whether no other suspect ran on the target at that time. */
  readonly alone: boolean;
}

/** An entry's recent findings about requests that crash their targets. */
export interface SuspectReport {
  readonly losses: readonly TargetLoss[];
  /** Fingerprints that are refused. */
  readonly quarantined: readonly string[];
}

export type QuarantineEvent =
  | { readonly type: "targetLost"; readonly losses: readonly TargetLoss[] }
  /** Losses reported by another entry. */
  | { readonly type: "lossesReported"; readonly losses: readonly TargetLoss[] }
  | { readonly type: "quarantineReported"; readonly fingerprint: string }
  /** A target answered the request, and so survived it. */
  | { readonly type: "answered"; readonly fingerprint: string }
  | { readonly type: "tick" };

export type QuarantineEffect =
  /** Report the losses to every other entry. */
  | { readonly type: "broadcastLosses"; readonly losses: readonly TargetLoss[] }
  /** Refuse the fingerprint from now on and report it to every other entry. */
  | {
    readonly type: "quarantine";
    readonly fingerprint: string;
    readonly targets: readonly string[];
  };

/**
 * `suspect`: must run on a target without another suspect, other than those that
 * were lost with it, and must not be hedged. `quarantined`: must be refused, for
 * the given time.
 */
export type Verdict =
  | { readonly kind: "clear" }
  | {
    readonly kind: "suspect";
    readonly avoid: readonly string[];
    /** Time until the lost targets no longer count, unless another is lost. */
    readonly clearInMs: number;
  }
  | { readonly kind: "quarantined"; readonly retryAfterMs: number };
