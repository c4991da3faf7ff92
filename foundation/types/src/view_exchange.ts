/**
 * Messages by which processes spread the platform's objects among each other, so
 * that each has a fresh view even while it cannot reach the platform itself. Some
 * entries, the watchers, watch the platform; the other processes pull from entries.
 */

import type { ObjectChange } from "./stored_object.ts";

/** The changes between two revisions. */
export interface ViewDelta {
  /** The revision that the changes apply to; `undefined` if they are a full snapshot. */
  readonly since: number | undefined;
  readonly revision: number;
  readonly changes: readonly ObjectChange[];
}

/** A watcher's report that it cannot reach the platform. */
export interface OutageClaim {
  readonly watcher: string;
  /** Time from the start of the watcher's last failed read to this message. */
  readonly ageMs: number;
  /**
   * Time from the start of the first failed read since the last successful one to
   * this message.
   */
  readonly sinceAgeMs: number;
}

/** Asks a peer for the changes that it has beyond a revision. */
export interface ViewPull {
  readonly type: "viewPull";
  readonly from: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly revision: number;
}

export interface ViewReply {
  readonly type: "viewReply";
  readonly from: string;
  /** Incarnation and sequence of the pull that this replies to. */
  readonly incarnation: string;
  readonly sequence: number;
  readonly revision: number;
  /**
   * Time since the sender's view was last known to be the latest; absent if it
   * never was.
   */
  readonly ageMs?: number;
  readonly outage: readonly OutageClaim[];
  readonly delta?: ViewDelta;
}

/**
 * Sends changes, unasked, to peers that pulled recently. It does not prove that
 * the sender's view is fresh.
 */
export interface ViewPush {
  readonly type: "viewPush";
  readonly from: string;
  readonly delta: ViewDelta;
}

export type ViewMessage = ViewPull | ViewReply | ViewPush;
