/** Settings of the engine's stand-in. */

import {
  COMMON_SETTINGS,
  type CommonSettings,
} from "@dandelionbank/standin-common";

export interface EngineSettings extends CommonSettings {
  /** Between two tokens of an answer; 0 is as fast as the connection takes them. */
  readonly tokenIntervalMs: number;
  readonly firstTokenMs: number;
  /** How many completions run at once; the others queue. */
  readonly concurrency: number;
  /** Whether orders with a lower fencing number than one seen are refused. */
  readonly checksFencing: boolean;
  /** Falls silent within each answer after so many tokens; -1 is never. */
  readonly stallAfterTokens: number;
  /** Cuts each answer's connection after so many tokens; -1 is never. */
  readonly cutAfterTokens: number;
  /** A prompt that contains it ends the process; empty is none. */
  readonly crashMarker: string;
}

export const ENGINE_SETTINGS: EngineSettings = {
  ...COMMON_SETTINGS,
  tokenIntervalMs: 5,
  firstTokenMs: 20,
  concurrency: 64,
  checksFencing: true,
  stallAfterTokens: -1,
  cutAfterTokens: -1,
  crashMarker: "",
};
