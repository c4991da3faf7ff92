/** Settings of the platform's stand-in. */

import {
  COMMON_SETTINGS,
  type CommonSettings,
} from "@dandelionbank/standin-common";

export interface PlatformSettings extends CommonSettings {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** How many changes a watch can go back. */
  readonly historyLimit: number;
  readonly valueLimitBytes: number;
  readonly bookmarkIntervalMs: number;
  /** How late the list of VMs shows the truth. */
  readonly lagMs: number;
  /** Answers reads from the state of the moment at which this was set. */
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
