/** The agent's check of every order to its target. */

export { startOrderCheck, stepOrderCheck } from "./order_core.ts";
export type * from "./order_state.ts";
