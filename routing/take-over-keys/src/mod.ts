/** Finds the arbiter of a request key and takes over a lost entry's keys. */

export { findHome } from "./find_home.ts";
export { createTakeOverState, findArbiter } from "./state.ts";
export type { TakeOverState } from "./state.ts";
export { step } from "./take_over_keys.ts";
export type * from "./events.ts";
