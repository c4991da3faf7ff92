/** The daemon, started with arguments and environment variables. */

export { runDaemon } from "./run_daemon.ts";
export type { DaemonOptions } from "./run_daemon.ts";
