/** Exchange of status between entries. */

export { StatusExchange } from "./exchange_status.ts";
export type { StatusExchangeOptions } from "./exchange_status.ts";
export { parseStatus } from "./parse_status.ts";
