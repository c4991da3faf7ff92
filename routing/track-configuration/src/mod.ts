/** The active configuration of one process. */

export {
  applyConfiguration,
  areKeysRequired,
  computeProofAgeMs,
  createActiveConfiguration,
  mayDeny,
  mayUseKeys,
  recordProof,
  recordRestore,
  recordUnusable,
} from "./active_configuration.ts";
export type {
  ActiveConfiguration,
  ActiveConfigurationOptions,
  FreshnessBounds,
  StoredConfiguration,
} from "./active_configuration.ts";
