/** The state of the spreading of views at one process. */

import { Freshness } from "./freshness.ts";
import { ObjectTable } from "./object_table.ts";
import { WATCHER_COUNT } from "./timing.ts";

export interface SpreadOptions {
  readonly name: string;
  readonly incarnation: string;
  /** A number from the name, by which processes take different turns. */
  readonly pollOffset: number;
}

/** Opaque; made by `createSpreadState`. */
export interface SpreadState {
  readonly options: SpreadOptions;
  readonly table: ObjectTable;
  readonly freshness: Freshness;
  readonly subscribers: Map<string, number>;
  readonly sentAtMs: Map<number, number>;
  entries: readonly string[];
  watching: boolean;
  sequence: number;
  pulledAtMs: number;
  readAtMs: number;
  /** The known revision when the platform was read last. */
  revisionAtRead: number;
  /** Since when a later revision is known of than the objects show. */
  behindSinceMs: number;
}

export function createSpreadState(options: SpreadOptions): SpreadState {
  return {
    options,
    table: ObjectTable.create(),
    freshness: Freshness.create(),
    subscribers: new Map(),
    sentAtMs: new Map(),
    entries: [],
    watching: false,
    sequence: 0,
    pulledAtMs: -Infinity,
    readAtMs: -Infinity,
    revisionAtRead: 0,
    behindSinceMs: Infinity,
  };
}

/** The entries that watch the platform. */
export function listWatchers(state: SpreadState): readonly string[] {
  return state.entries.slice(0, WATCHER_COUNT);
}
