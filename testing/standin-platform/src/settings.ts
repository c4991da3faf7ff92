/** Settings of the platform stand-in. */

import {
  COMMON_SETTINGS,
  type CommonSettings,
} from "@dandelionbank/standin-common";

export interface PlatformSettings extends CommonSettings {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** Number of changes in the history from which a watch can resume. */
  readonly historyLimit: number;
  readonly valueLimitBytes: number;
  readonly bookmarkIntervalMs: number;
  /** Delay until a change appears in the list of VMs. */
  readonly lagMs: number;
  /** Answers reads from the state at the time this was set. */
  readonly staleReads: boolean;
}

export const PLATFORM_SETTINGS: PlatformSettings = {
  ...COMMON_SETTINGS,
  writesPerSecond: 400,
  readsPerSecond: 2000,
  historyLimit: 10_000,
  valueLimitBytes: 1_000_000,
  bookmarkIntervalMs: 1000,
  lagMs: 3000,
  staleReads: false,
};
