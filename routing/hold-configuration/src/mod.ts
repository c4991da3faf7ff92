/** The configuration in force at one process. */

export {
  applyConfiguration,
  createHeldConfiguration,
  mayDeny,
  mayUseKeys,
  noteProof,
  readProofAgeMs,
} from "./hold_configuration.ts";
export type {
  FreshnessBounds,
  HeldConfiguration,
  ReadConfiguration,
} from "./hold_configuration.ts";
