/** Assignment of a coordinator duty to one entry, with a fencing number. */

export { startDuty, stepDuty } from "./duty_core.ts";
export type * from "./duty_state.ts";
export { selectPreferred } from "./select_preferred.ts";
export type { HashFunction, PreferenceOptions } from "./select_preferred.ts";
