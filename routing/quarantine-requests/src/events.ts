/** What the quarantine takes in and what it asks to be done. */

export interface QuarantineOptions {
  /** How long a fingerprint is refused. */
  readonly quarantineMs: number;
  /** Time in which every entry tells what it lost with a target. */
  readonly settleMs: number;
  /** How long a lost target is remembered against what it ran. */
  readonly retentionMs: number;
  /** Most fingerprints that are remembered. */
  readonly maxFingerprints: number;
}

/** A target was lost while it ran a request. */
export interface TargetLoss {
  readonly fingerprint: string;
  readonly target: string;
  /** Whether no other suspect ran on the target at that time. */
  readonly alone: boolean;
}

/** What an entry has lately learnt of requests that crash their targets. */
export interface SuspectReport {
  readonly losses: readonly TargetLoss[];
  /** Fingerprints that are refused. */
  readonly quarantined: readonly string[];
}

export type QuarantineEvent =
  | { readonly type: "targetLost"; readonly losses: readonly TargetLoss[] }
  /** What other entries saw. */
  | { readonly type: "lossesReported"; readonly losses: readonly TargetLoss[] }
  | { readonly type: "quarantineReported"; readonly fingerprint: string }
  /** A target has answered the request, and so outlived it. */
  | { readonly type: "answered"; readonly fingerprint: string }
  | { readonly type: "tick" };

export type QuarantineEffect =
  /** Tell every other entry what was lost. */
  | { readonly type: "broadcastLosses"; readonly losses: readonly TargetLoss[] }
  /** Refuse the fingerprint from now on, and tell every other entry. */
  | {
    readonly type: "quarantine";
    readonly fingerprint: string;
    readonly targets: readonly string[];
  };

/**
 * `suspect`: to be run only where no other suspect runs, on another target than
 * those that were lost with it, and never hedged.
 * `quarantined`: to be refused at once, for that long.
 */
export type Verdict =
  | { readonly kind: "clear" }
  | {
    readonly kind: "suspect";
    readonly avoid: readonly string[];
    /** When the lost targets count no longer, if nothing more is lost. */
    readonly clearInMs: number;
  }
  | { readonly kind: "quarantined"; readonly retryAfterMs: number };
