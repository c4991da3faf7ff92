/** Lifecycle of long-lived processes. */

export {
  describeError,
  stopGracefully,
  waitForStopSignal,
} from "./stop_process.ts";
export type { RunningProcess } from "./stop_process.ts";
