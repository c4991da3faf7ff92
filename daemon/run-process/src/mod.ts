/** Lifecycle of long-lived processes. */

export {
  describeError,
  stopGracefully,
  waitForStopSignal,
} from "./run_process.ts";
export type { RunningProcess } from "./run_process.ts";
