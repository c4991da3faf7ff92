/**
 * The times of a planned stop of an entry, counted from the stop signal. Callers
 * that have cached the directory's answer still come for a while:
 *
 *     0 ......... acceptMs ......... endMs ......... cutMs ......... graceMs
 *     | accepts what can end by endMs | lets it end   | closes        | killed
 */

/** Callers may cache an answer of the directory for up to three times its TTL. */
const DIRECTORY_CACHE_FACTOR = 3;
/** Fraction of the grace period in which new requests are still accepted. */
const ACCEPT_FRACTION = 0.5;
/** Time before the kill in which connections are closed in order. */
const CLOSE_MS = 600;
/** Answers are delivered, and ends noticed, within this time. */
const END_MARGIN_MS = 200;

export interface StopSchedule {
  /** Until then, requests are accepted that can end by `endMs`. */
  readonly acceptMs: number;
  /** Accepted requests are expected to have ended by then. */
  readonly endMs: number;
  /** What still runs is cut, and connections are closed. */
  readonly cutMs: number;
}

export function createStopSchedule(
  { graceMs, directoryTtlMs }: {
    /** Time from the stop signal until the process is killed. */
    readonly graceMs: number;
    readonly directoryTtlMs: number;
  },
): StopSchedule {
  const cutMs = Math.max(0, graceMs - CLOSE_MS);
  return {
    acceptMs: Math.min(
      directoryTtlMs * DIRECTORY_CACHE_FACTOR,
      graceMs * ACCEPT_FRACTION,
      cutMs,
    ),
    endMs: Math.max(0, cutMs - END_MARGIN_MS),
    cutMs,
  };
}
