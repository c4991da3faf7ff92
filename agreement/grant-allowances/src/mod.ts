/** Division of a contract's limits among the entries. */

export { createDivisionState, divideOffers } from "./divide_offers.ts";
export type {
  DivisionEffect,
  DivisionEvent,
  DivisionState,
} from "./divide_offers.ts";
export { createHoldingState, holdShares } from "./hold_shares.ts";
export type {
  HoldingEffect,
  HoldingEvent,
  HoldingOptions,
  HoldingState,
} from "./hold_shares.ts";
export {
  addShares,
  isNoShare,
  isWithin,
  minShares,
  NO_SHARE,
  scaleShare,
  shareAt,
  subtractShares,
  sumInForce,
} from "./limit_share.ts";
export { reserveShare } from "./reserve_share.ts";
export type { ReservationPlace } from "./reserve_share.ts";
export {
  COORDINATOR_TIMEOUT_MS,
  EXCHANGE_MS,
  LOAN_MS,
  OFFER_MS,
} from "./timing.ts";
