/** Collects pieces of bytes in one growing buffer, and shares a budget of memory. */

export { ByteCollector } from "./byte_collector.ts";
export type { ByteCollectorOptions } from "./byte_collector.ts";
export { ByteBudget } from "./byte_budget.ts";
export type { ByteClaim } from "./byte_budget.ts";
