/** Closes the incarnations of lost entries and recovers their keys from agents. */

export { TakeOverTask } from "./take_over_task.ts";
export type { TakeOverTaskOptions } from "./take_over_task.ts";
