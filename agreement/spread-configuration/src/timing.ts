/** Durations and intervals of the distribution of views. */

/** Number of entries that watch the platform. */
export const WATCHER_COUNT = 3;

/** Number of entries that pull from one entry in normal operation. */
export const FAN_OUT = 6;

/** Interval between the pulls of a process, and between the reads of a watcher. */
export const PULL_INTERVAL_MS = 1_000;

/** Time for which a view counts as fresh after it was known to be the latest. */
export const FRESHNESS_MS = 6_000;

/** Age of a view from which a process also pulls from a second entry. */
export const SECOND_PULL_AGE_MS = 3_500;

/** Age of a view from which a process reads the platform itself. */
export const DIRECT_READ_AGE_MS = 4_500;

/** Interval between reads of a process that isn't a watcher. */
export const DIRECT_READ_INTERVAL_MS = 2_000;

/** Interval between such reads while most watchers claim an outage. */
export const OUTAGE_READ_INTERVAL_MS = 8_000;

/** Time for which a failed read confirms an outage to the process itself. */
export const FAILED_READ_VALIDITY_MS = 20_000;

/** Time after a pull during which changes are pushed to the process. */
export const SUBSCRIPTION_MS = 3_000;

/** Time by which the watch may lag behind a revision that was read. */
export const MAX_WATCH_LAG_MS = 800;

/**
 * Changes accepted within this time before an outage may be known to no process.
 * They are not waited for during the outage.
 */
export const UNSEEN_CHANGE_WINDOW_MS = 3_000;
