/** One adapter class for each kind of target, behind one interface. */

export { createTargetAdapter } from "./create_target_adapter.ts";
export type {
  RunningCall,
  TargetAdapter,
  TargetCall,
  TargetFailure,
  TargetSink,
} from "./target_adapter.ts";
