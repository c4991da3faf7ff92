/** What processes tell each other about the platform's objects. */

import type { ObjectChange } from "./stored_object.ts";

/** The changes that lead from one revision to another. */
export interface ViewDelta {
  /** The revision from which it leads; `undefined` if it holds every object. */
  readonly since: number | undefined;
  readonly revision: number;
  readonly changes: readonly ObjectChange[];
}

/** A watcher's word that it cannot reach the platform. */
export interface OutageClaim {
  readonly watcher: string;
  /** How long before the message its last failed read began. */
  readonly ageMs: number;
  /** How long before the message its first one since a success began. */
  readonly sinceAgeMs: number;
}

/** Asks a peer for what it knows beyond a revision. */
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
  /** Incarnation and sequence of the pull that it answers. */
  readonly incarnation: string;
  readonly sequence: number;
  readonly revision: number;
  /** How long before the reply the view was known to be the latest, if ever. */
  readonly ageMs?: number;
  readonly outage: readonly OutageClaim[];
  readonly delta?: ViewDelta;
}

/** Sent unasked to those who asked lately; it says nothing on freshness. */
export interface ViewPush {
  readonly type: "viewPush";
  readonly from: string;
  readonly delta: ViewDelta;
}

export type ViewMessage = ViewPull | ViewReply | ViewPush;
