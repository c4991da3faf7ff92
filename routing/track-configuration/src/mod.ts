/** The active configuration of one process. */

export {
  applyConfiguration,
  computeProofAgeMs,
  createActiveConfiguration,
  mayDeny,
  mayUseKeys,
  recordProof,
  recordRestore,
} from "./active_configuration.ts";
export type {
  ActiveConfiguration,
  FreshnessBounds,
  StoredConfiguration,
} from "./active_configuration.ts";
