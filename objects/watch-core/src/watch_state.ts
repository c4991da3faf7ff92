/** The state of a watch, what happens to it and what it asks to be done. */

import type { ObjectList } from "@dandelionbank/types";
import type { WatchEvent } from "./watch_event.ts";

export interface WatchState {
  readonly phase: "listing" | "watching" | "waiting";
  /** The newest revision that was delivered; none before the first list. */
  readonly revision: number | undefined;
  /** Whether the wait is followed by a list, and not by resuming the watch. */
  readonly mustList: boolean;
  /** Failures since a watch last delivered a line. */
  readonly failures: number;
  /** A watch silent for longer is replaced; bookmarks come each second. */
  readonly idleTimeoutMs: number;
}

export type WatchInput =
  | { readonly type: "started" }
  | { readonly type: "listed"; readonly list: ObjectList }
  | { readonly type: "listFailed"; readonly error: Error }
  | { readonly type: "lineRead"; readonly line: string }
  | { readonly type: "watchCompacted" }
  | { readonly type: "watchFailed"; readonly error: Error }
  | { readonly type: "timerFired" };

export type WatchEffect =
  | { readonly type: "list" }
  | { readonly type: "openWatch"; readonly since: number }
  | { readonly type: "closeWatch" }
  /** Replaces the timer; the delay is drawn at random between the two. */
  | {
    readonly type: "setTimer";
    readonly minDelayMs: number;
    readonly maxDelayMs: number;
  }
  | { readonly type: "emit"; readonly event: WatchEvent };

export function createWatchState(
  options: { readonly idleTimeoutMs: number },
): WatchState {
  return {
    phase: "waiting",
    revision: undefined,
    mustList: true,
    failures: 0,
    idleTimeoutMs: options.idleTimeoutMs,
  };
}
