/**
 * Durations and intervals of the exchange of shares. One lost exchange is
 * tolerated: an offer lasts longer than any loan made from it, and both last
 * several exchanges.
 */

/** Interval between the asks of an entry while any entry needs more. */
export const EXCHANGE_INTERVAL_MS = 1_000;

/** Time for which an offer binds the lender, from receipt of the stamp in it. */
export const OFFER_DURATION_MS = 6_000;

/** Duration of a loan, from the time the borrower asked for it. */
export const LOAN_DURATION_MS = 3_000;

/** Duration of a loan from offers whose lenders want their share back. */
export const SHORT_LOAN_DURATION_MS = 1_500;

/** Maximum drift between two monotonic clocks during an offer. */
export const MAX_CLOCK_DRIFT_MS = 50;

/** Time without an answer after which an entry asks the next coordinator. */
export const COORDINATOR_TIMEOUT_MS = 2_500;

/** Time for which a coordinator that did not answer is skipped. */
export const COORDINATOR_AVOIDED_MS = 10_000;

/** Time after the last unmet demand during which an organisation counts as contended. */
export const CONTENTION_WINDOW_MS = 5_000;

/** Interval between two calls for offers. */
export const OFFER_CALL_INTERVAL_MS = 2_000;
