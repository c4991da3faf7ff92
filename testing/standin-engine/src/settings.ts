/** Settings of the engine stand-in. */

import {
  COMMON_SETTINGS,
  type CommonSettings,
} from "@dandelionbank/standin-common";

export interface EngineSettings extends CommonSettings {
  /** Time between two tokens of an answer; 0 means as fast as the connection allows. */
  readonly tokenIntervalMs: number;
  /** Time from the start of a completion to its first token. */
  readonly firstTokenMs: number;
  /** Maximum number of running completions; further ones are queued. */
  readonly concurrency: number;
  /** Whether to refuse orders with a lower fencing number than the highest accepted. */
  readonly checksFencing: boolean;
  /** Stalls each answer after this number of tokens; -1 disables the fault. */
  readonly stallAfterTokens: number;
  /** Closes the connection after this number of tokens; -1 disables the fault. */
  readonly cutAfterTokens: number;
  /** A prompt that contains this text ends the process; empty disables the fault. */
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
