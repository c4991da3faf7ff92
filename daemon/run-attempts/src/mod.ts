/** The task in which an agent admits and runs attempts. */

export { AttemptMetrics } from "./attempt_metrics.ts";
export { AttemptTask } from "./attempt_task.ts";
export type { AttemptTaskOptions } from "./attempt_task.ts";
