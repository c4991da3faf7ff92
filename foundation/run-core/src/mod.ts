/** Runs a pure core, a state machine without side effects, inside a task. */

export { CoreRunner } from "./core_runner.ts";
export type { CoreRunnerOptions } from "./core_runner.ts";
