/** An agent's check of the orders to its target. */

export { startOrderCheck, stepOrderCheck } from "./order_core.ts";
export type * from "./order_state.ts";
