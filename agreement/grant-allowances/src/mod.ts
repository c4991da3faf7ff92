/** Division of a contract's limits among the entries. */

export {
  createShareCoordinator,
  stepShareCoordinator,
} from "./share_coordinator.ts";
export type {
  ShareCoordinatorEffect,
  ShareCoordinatorEvent,
  ShareCoordinatorState,
} from "./share_coordinator.ts";
export { createShareHolder, stepShareHolder } from "./share_holder.ts";
export type {
  ShareHolderEffect,
  ShareHolderEvent,
  ShareHolderOptions,
  ShareHolderState,
} from "./share_holder.ts";
export {
  addShares,
  computeUsableShare,
  isEmptyShare,
  isWithin,
  minShares,
  NO_SHARE,
  scaleShare,
  subtractShares,
  sumUnexpired,
} from "./limit_share.ts";
export { computeReservedShare } from "./compute_reserved_share.ts";
export type { ReservationOptions } from "./compute_reserved_share.ts";
export {
  COORDINATOR_TIMEOUT_MS,
  EXCHANGE_INTERVAL_MS,
  LOAN_DURATION_MS,
  OFFER_DURATION_MS,
} from "./timing.ts";
