/** State, inputs and effects of a watch. */

import type { ObjectList } from "@dandelionbank/types";
import type { WatchEvent } from "./watch_event.ts";

export interface WatchState {
  readonly phase: "listing" | "watching" | "waiting";
  /** Last delivered revision; undefined before the first list. */
  readonly revision: number | undefined;
  /** Whether to list the objects after the wait instead of resuming the watch. */
  readonly mustRelist: boolean;
  /** Failures since the watch last delivered a line. */
  readonly failures: number;
  /**
   * Time without a line after which the watch is reopened. The platform sends a
   * bookmark every second.
   */
  readonly idleTimeoutMs: number;
}

export type WatchInput =
  | { readonly type: "started" }
  | { readonly type: "listed"; readonly list: ObjectList }
  | { readonly type: "listFailed"; readonly error: Error }
  | { readonly type: "lineReceived"; readonly line: string }
  | { readonly type: "watchCompacted" }
  | { readonly type: "watchFailed"; readonly error: Error }
  | { readonly type: "timerFired" };

export type WatchEffect =
  | { readonly type: "list" }
  | { readonly type: "openWatch"; readonly since: number }
  | { readonly type: "closeWatch" }
  /** Replaces the timer; the delay is drawn at random between the two limits. */
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
    mustRelist: true,
    failures: 0,
    idleTimeoutMs: options.idleTimeoutMs,
  };
}
