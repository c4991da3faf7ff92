/** Division of a contract's limits among the entries. */

export {
  addShares,
  isNoShare,
  minShares,
  NO_SHARE,
  shareAt,
  subtractShares,
  sumInForce,
} from "./limit_share.ts";
export { reserveShare } from "./reserve_share.ts";
export type { ReservationPlace } from "./reserve_share.ts";
