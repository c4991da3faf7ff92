/**
 * Watches the platform's objects as a stream of events. The stream begins with a
 * list, continues across outages and missed changes, and ends only when it is
 * disposed of.
 */

import type { PlatformClient } from "@dandelionbank/call-platform";
import type { WatchEvent } from "@dandelionbank/watch-core";
import { Stream } from "most";
import { WatchTask } from "./watch_task.ts";

/** Several times the interval of the platform's bookmarks, which is 1 s. */
const DEFAULT_IDLE_TIMEOUT_MS = 3_500;

export interface WatchObjectsOptions {
  readonly client: Pick<PlatformClient, "list" | "openWatch">;
  /** Returns 0 up to but excluding 1; spreads the processes' reconnections in time. */
  readonly random: () => number;
  /** Time without a line after which the watch is reopened. */
  readonly idleTimeoutMs?: number;
}

export function watchObjects(options: WatchObjectsOptions): Stream<WatchEvent> {
  const { client, random, idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS } = options;
  return new Stream({
    run: (sink, scheduler) =>
      WatchTask.start({
        client,
        random,
        idleTimeoutMs,
        onEvent: (event) => sink.event(scheduler.now(), event),
      }),
  });
}
