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
/**
 * Largest fraction of a short grace period for it. Requests are promised five
 * sixths of the period.
 */
const CLOSE_FRACTION = 1 / 8;
/** Fraction of that time for which connections are waited for. */
const CLOSE_WAIT_FRACTION = 0.5;
/** Answers are delivered, and ends noticed, within this time. */
const END_MARGIN_MS = 200;
/** Largest fraction of a short grace period for that. */
const END_MARGIN_FRACTION = 1 / 20;

export interface StopSchedule {
  /** Until then, requests are accepted that can end by `endMs`. */
  readonly acceptMs: number;
  /** Accepted requests are expected to have ended by then. */
  readonly endMs: number;
  /** What still runs is cut, and connections are closed. */
  readonly cutMs: number;
  /** Longest time for connections to close after the cut. */
  readonly closeMs: number;
}

export function createStopSchedule(
  { graceMs, directoryTtlMs }: {
    /** Time from the stop signal until the process is killed. */
    readonly graceMs: number;
    readonly directoryTtlMs: number;
  },
): StopSchedule {
  const cutMs = graceMs - Math.min(CLOSE_MS, graceMs * CLOSE_FRACTION);
  const endMarginMs = Math.min(END_MARGIN_MS, graceMs * END_MARGIN_FRACTION);
  return {
    acceptMs: Math.min(
      directoryTtlMs * DIRECTORY_CACHE_FACTOR,
      graceMs * ACCEPT_FRACTION,
      cutMs,
    ),
    endMs: cutMs - endMarginMs,
    cutMs,
    closeMs: (graceMs - cutMs) * CLOSE_WAIT_FRACTION,
  };
}
