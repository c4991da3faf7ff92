/** The task that closes lost entries' incarnations and asks agents for their keys. */

export { TakeOverTask } from "./take_over_task.ts";
export type { TakeOverTaskOptions } from "./take_over_task.ts";
