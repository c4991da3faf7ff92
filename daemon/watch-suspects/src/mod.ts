/** Requests that crash their targets. */

export { CrashWatch } from "./crash_watch.ts";
export type { CrashWatchOptions } from "./crash_watch.ts";
export { SuspectTask } from "./suspect_task.ts";
export type { SuspectTaskOptions } from "./suspect_task.ts";
