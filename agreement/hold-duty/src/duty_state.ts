/** State, events and effects of the core that holds one duty. Plain data. */

import type { HashFunction } from "./select_preferred.ts";

/** The value of a duty's object. The object's revision is the fencing number. */
export interface DutyRecord {
  readonly holder: string;
  /** The holder's process. */
  readonly incarnation: string;
}

/** A duty's object as it was read or written. */
export interface DutyObject {
  readonly uid: string;
  readonly revision: number;
  readonly changeId: string;
  readonly record: DutyRecord;
}

export interface DutyOptions {
  readonly duty: string;
  readonly self: DutyRecord;
  readonly hash: HashFunction;
  /** How long a holder must be missing, or not preferred, before it is replaced. */
  readonly absentAfterMs: number;
  readonly handOverAfterMs: number;
  /** Wait before a failed write is tried again. */
  readonly retryAfterMs: number;
}

/** A conditional write that is under way, or whose outcome is not known. */
export interface Claim {
  readonly changeId: string;
  readonly expectedRevision: number | undefined;
  readonly retryAtMs: number;
  /** Whether it was sent and its answer is still awaited. */
  readonly isAwaitingAnswer: boolean;
}

/** Why this entry should take the duty, and since when without a break. */
export interface ClaimReason {
  readonly kind: "free" | "holderAbsent" | "preferred";
  readonly sinceMs: number;
}

export interface DutyState {
  readonly options: DutyOptions;
  /** The live entries, by name, with the incarnation that they registered. */
  readonly members: ReadonlyMap<string, string>;
  /** Absent until the object was read. `null`: there is none. */
  readonly object?: DutyObject | null;
  readonly reason?: ClaimReason;
  readonly claim?: Claim;
  readonly claimCount: number;
  /** No new claim before then, after one that met a conflict. */
  readonly claimNotBeforeMs: number;
  /** The number under which this entry gives orders. */
  readonly fencingNumber?: number;
}

export type DutyEvent =
  | {
    readonly type: "membersChanged";
    readonly members: ReadonlyMap<string, string>;
  }
  /** From a read or a watch; `null` if there is no such object. */
  | { readonly type: "objectSeen"; readonly object: DutyObject | null }
  | { readonly type: "written"; readonly object: DutyObject }
  | { readonly type: "conflict"; readonly current: DutyObject | null }
  /** The write did not take effect, or nobody knows whether it did. */
  | { readonly type: "writeFailed"; readonly changeId: string }
  | { readonly type: "tick" };

export type DutyEffect =
  | {
    readonly type: "write";
    readonly record: DutyRecord;
    readonly changeId: string;
    readonly expectedRevision: number | undefined;
  }
  | { readonly type: "held"; readonly fencingNumber: number }
  | { readonly type: "lost"; readonly fencingNumber: number }
  | {
    readonly type: "invariantViolated";
    readonly invariant: "fencingNumberRises";
    readonly detail: string;
  };
