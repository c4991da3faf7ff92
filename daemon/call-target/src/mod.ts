/** Adapters that call targets, one class for each kind of target. */

export { createTargetAdapter } from "./create_target_adapter.ts";
export type {
  RunningCall,
  TargetAdapter,
  TargetCall,
  TargetFailure,
  TargetHead,
  TargetSink,
} from "./target_adapter.ts";
