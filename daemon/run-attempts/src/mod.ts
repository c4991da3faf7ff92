/** Admission and execution of attempts at an agent. */

export { AttemptMetrics } from "./attempt_metrics.ts";
export { AttemptTask } from "./attempt_task.ts";
export type { AttemptTaskOptions } from "./attempt_task.ts";
