/** The configuration in force at one process. */

export {
  applyConfiguration,
  computeProofAgeMs,
  createActiveConfiguration,
  mayDeny,
  mayUseKeys,
  recordProof,
} from "./hold_configuration.ts";
export type {
  ActiveConfiguration,
  FreshnessBounds,
  StoredConfiguration,
} from "./hold_configuration.ts";
