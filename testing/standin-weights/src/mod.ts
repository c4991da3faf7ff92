/** Stand-in for the store of model weights. */

export {
  expectedByte,
  StandinWeights,
  startWeights,
  WEIGHTS_SETTINGS,
} from "./weights.ts";
export type { WeightsOptions, WeightsSettings } from "./weights.ts";
