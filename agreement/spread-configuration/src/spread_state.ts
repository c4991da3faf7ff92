/** State of the distribution of views at one process. */

import { Freshness } from "./freshness.ts";
import { ObjectTable } from "./object_table.ts";
import { WATCHER_COUNT } from "./timing.ts";

export interface SpreadOptions {
  readonly name: string;
  readonly incarnation: string;
  /** A number derived from the name, so that processes poll different entries. */
  readonly pollOffset: number;
}

/** Opaque; created by `createSpreadState`. */
export interface SpreadState {
  readonly options: SpreadOptions;
  readonly table: ObjectTable;
  readonly freshness: Freshness;
  /** Time of the last pull of each process, by name. */
  readonly subscribers: Map<string, number>;
  /** Send time of each unanswered pull, by sequence. */
  readonly sentAtMs: Map<number, number>;
  entries: readonly string[];
  watching: boolean;
  sequence: number;
  pulledAtMs: number;
  readAtMs: number;
  /** The known revision at the start of the last read of the platform. */
  revisionAtRead: number;
  /** Time since which the objects have been behind a later known revision. */
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
