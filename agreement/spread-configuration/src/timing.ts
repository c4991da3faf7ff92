/** Times of the spreading of views. */

/** How many entries watch the platform. */
export const WATCHER_COUNT = 3;

/** How many entries pull from one, where all is well. */
export const FAN_OUT = 6;

/** Time between the pulls of a process, and between a watcher's reads. */
export const PULL_INTERVAL_MS = 1_000;

/** How long a view counts as fresh after it was known to be the latest. */
export const FRESHNESS_MS = 6_000;

/** A view that is no fresher than this makes its process ask elsewhere too. */
export const SECOND_PULL_AGE_MS = 3_500;

/** A view that is no fresher than this makes its process read the platform. */
export const DIRECT_READ_AGE_MS = 4_500;

/** Time between two reads by a process that isn't a watcher. */
export const DIRECT_READ_INTERVAL_MS = 2_000;

/** Time between such reads while the platform is known to be out. */
export const OUTAGE_READ_INTERVAL_MS = 8_000;

/** For how long a failed read counts as an outage seen by the process itself. */
export const FAILED_READ_VALIDITY_MS = 20_000;

/** Who pulled within this time is told of changes at once. */
export const SUBSCRIPTION_MS = 3_000;

/** For how long a watch may lag behind a revision that was read. */
export const MAX_WATCH_LAG_MS = 800;

/**
 * What was accepted so shortly before an outage may be known to nobody, and
 * isn't waited for while the outage lasts.
 */
export const UNSEEN_CHANGE_WINDOW_MS = 3_000;
