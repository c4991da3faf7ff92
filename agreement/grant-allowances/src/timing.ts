/**
 * Times of the exchange of shares. They are in an order that lets one exchange
 * be lost: an offer binds its lender longer than any loan made from it lasts,
 * and both last several exchanges.
 */

/** Time between the asks of an entry while some entry is short. */
export const EXCHANGE_INTERVAL_MS = 1_000;

/** How long an offer binds its maker, from before the stamp in it came. */
export const OFFER_DURATION_MS = 6_000;

/** How long a loan lasts, from before it was asked for. */
export const LOAN_DURATION_MS = 3_000;

/** A loan from what lenders are bound to but would rather have back. */
export const SHORT_LOAN_DURATION_MS = 1_500;

/** What two monotonic clocks may drift apart while an offer binds. */
export const MAX_CLOCK_DRIFT_MS = 50;

/** An entry that isn't answered for so long turns to the next coordinator. */
export const COORDINATOR_TIMEOUT_MS = 2_500;

/** For how long a silent coordinator is passed over. */
export const COORDINATOR_AVOIDED_MS = 10_000;

/** An organisation counts as contended for so long after the last shortage. */
export const CONTENTION_WINDOW_MS = 5_000;

/** Time between two calls for offers. */
export const OFFER_CALL_INTERVAL_MS = 2_000;
