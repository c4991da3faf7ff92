/** Exchange of status between entries. */

export { StatusExchange } from "./status_exchange.ts";
export type { StatusExchangeOptions } from "./status_exchange.ts";
export { parseStatus } from "./parse_status.ts";
