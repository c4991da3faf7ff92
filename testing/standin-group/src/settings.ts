/** Settings of the group's stand-in. `POST /faults` at a rank changes that rank's alone. */

import {
  COMMON_SETTINGS,
  type CommonSettings,
} from "@dandelionbank/standin-common";

export interface GroupSettings extends CommonSettings {
  /** Fixed when the group starts. */
  readonly ranks: number;
  /** A rank's own time for a step without requests. */
  readonly stepTimeMs: number;
  /** What each request that runs on the rank adds to its step. */
  readonly requestCostMs: number;
  /** Multiplies the rank's time for a step. */
  readonly slowFactor: number;
  /** The rank never comes to the end of its step. */
  readonly stalled: boolean;
  readonly stageTimeMs: number;
  readonly concurrency: number;
  readonly checksFencing: boolean;
  readonly stallAfterTokens: number;
  readonly cutAfterTokens: number;
}

export const GROUP_SETTINGS: GroupSettings = {
  ...COMMON_SETTINGS,
  ranks: 4,
  stepTimeMs: 5,
  requestCostMs: 0.05,
  slowFactor: 1,
  stalled: false,
  stageTimeMs: 50,
  concurrency: 64,
  checksFencing: true,
  stallAfterTokens: -1,
  cutAfterTokens: -1,
};
