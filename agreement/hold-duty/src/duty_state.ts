/** State, events and effects of holding one duty. All plain data. */

import type { HashFunction } from "./select_preferred.ts";

/** Value of a duty's object. The object's revision is the holder's fencing number. */
export interface DutyRecord {
  readonly holder: string;
  /** Incarnation of the holder's process. */
  readonly incarnation: string;
}

/** A duty's object as stored on the platform. */
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
  /** How long a holder must be absent before it is replaced. */
  readonly absentAfterMs: number;
  /** How long another entry must be preferred before it replaces the holder. */
  readonly handOverAfterMs: number;
  /** Delay before a failed write is retried. */
  readonly retryAfterMs: number;
}

/** A conditional write that is in flight, or whose outcome is unknown. */
export interface Claim {
  readonly changeId: string;
  readonly expectedRevision: number | undefined;
  readonly retryAtMs: number;
  /** Whether the write is in flight. */
  readonly isAwaitingAnswer: boolean;
}

/** Why this entry should claim the duty, and since when that has held continuously. */
export interface ClaimReason {
  readonly kind: "free" | "holderAbsent" | "preferred";
  readonly sinceMs: number;
}

export interface DutyState {
  readonly options: DutyOptions;
  /** Registered incarnation of each live entry, by name. */
  readonly members: ReadonlyMap<string, string>;
  /** Absent until the object was read; `null` if it does not exist. */
  readonly object?: DutyObject | null;
  readonly reason?: ClaimReason;
  readonly claim?: Claim;
  readonly claimCount: number;
  /** Earliest time of the next claim after one that ended in a conflict. */
  readonly claimNotBeforeMs: number;
  /** Fencing number of this entry's orders; absent while it does not hold the duty. */
  readonly fencingNumber?: number;
}

export type DutyEvent =
  | {
    readonly type: "membersChanged";
    readonly members: ReadonlyMap<string, string>;
  }
  /** From a read or a watch; `null` if the object does not exist. */
  | { readonly type: "objectSeen"; readonly object: DutyObject | null }
  /** This entry's write was applied. */
  | { readonly type: "written"; readonly object: DutyObject }
  /** This entry's write was not applied, since the object was not as expected. */
  | { readonly type: "conflict"; readonly current: DutyObject | null }
  /** The write failed, or its outcome is unknown. */
  | { readonly type: "writeFailed"; readonly changeId: string }
  | { readonly type: "tick" };

export type DutyEffect =
  | {
    readonly type: "write";
    readonly record: DutyRecord;
    readonly changeId: string;
    readonly expectedRevision: number | undefined;
  }
  /** This entry now holds the duty. */
  | { readonly type: "held"; readonly fencingNumber: number }
  /** This entry no longer holds the duty. */
  | { readonly type: "lost"; readonly fencingNumber: number }
  | {
    readonly type: "invariantViolated";
    readonly invariant: "fencingNumberRises";
    readonly detail: string;
  };
