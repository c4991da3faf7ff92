/** Stand-in for the weight store. */

export {
  expectedByte,
  StandinWeights,
  startWeights,
  WEIGHTS_SETTINGS,
} from "./weights.ts";
export type { WeightsOptions, WeightsSettings } from "./weights.ts";
