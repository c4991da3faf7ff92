/**
 * The changes of the platform's objects as a stream. It begins with a list,
 * goes through outages and gaps, and ends only when it is disposed of.
 */

import type { PlatformClient } from "@dandelionbank/call-platform";
import type { WatchEvent } from "@dandelionbank/watch-core";
import { Stream } from "most";
import { WatchTask } from "./watch_task.ts";

const SILENCE_TIMEOUT_MS = 3_500;

export interface WatchObjectsOptions {
  readonly client: Pick<PlatformClient, "list" | "openWatch">;
  /** From 0 to below 1; spreads the times at which processes come back. */
  readonly random: () => number;
  /** A watch silent for longer is replaced. */
  readonly idleTimeoutMs?: number;
}

export function watchObjects(options: WatchObjectsOptions): Stream<WatchEvent> {
  const { client, random, idleTimeoutMs = SILENCE_TIMEOUT_MS } = options;
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
