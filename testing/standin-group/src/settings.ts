/** Settings of the group stand-in. `POST /faults` at a rank changes only that rank's. */

import {
  COMMON_SETTINGS,
  type CommonSettings,
} from "@dandelionbank/standin-common";

export interface GroupSettings extends CommonSettings {
  /** Number of ranks; a change after the start has no effect. */
  readonly ranks: number;
  /** Duration of a step of a rank without running requests. */
  readonly stepTimeMs: number;
  /** Time that each running request adds to the rank's step. */
  readonly requestCostMs: number;
  /** Factor on the duration of the rank's steps. */
  readonly slowFactor: number;
  /** Keeps the group from beginning its next step. */
  readonly stalled: boolean;
  /** Time that staging an expert map takes. */
  readonly stageTimeMs: number;
  /** Maximum number of running completions of a rank; further ones are queued. */
  readonly concurrency: number;
  /** As for the engine stand-in, like the two faults below. */
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
