/** Detection and quarantine of requests that crash their targets. */

export { CrashMetrics } from "./crash_metrics.ts";
export { CrashMonitor } from "./crash_monitor.ts";
export type { CrashMonitorOptions, DownSign } from "./crash_monitor.ts";
export { QUARANTINE_MS, SuspectTask } from "./suspect_task.ts";
export type { SuspectTaskOptions } from "./suspect_task.ts";
