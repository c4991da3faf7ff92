/** Runs a pure core inside a task. */

export { CoreRunner } from "./core_runner.ts";
export type { CoreRunnerOptions } from "./core_runner.ts";
