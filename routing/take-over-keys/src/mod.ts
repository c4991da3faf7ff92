/** Who arbitrates a request key, and the takeover of a lost entry's keys. */

export { findHome } from "./find_home.ts";
export { createTakeOverState, findArbiter } from "./state.ts";
export type { TakeOverState } from "./state.ts";
export { step } from "./take_over_keys.ts";
export type * from "./events.ts";
