/** Status of entries. */

export { parseStatus, StatusExchange } from "./exchange_status.ts";
export type { StatusExchangeOptions } from "./exchange_status.ts";
