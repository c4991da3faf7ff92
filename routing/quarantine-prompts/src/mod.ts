/** Identifies and quarantines parts of prompts that crash targets. */

export { PromptQuarantine } from "./prompt_quarantine.ts";
export { EMPTY_PROMPT_REPORT } from "./types.ts";
export type {
  CrashReport,
  Culprit,
  LostPart,
  PromptQuarantineOptions,
  PromptReport,
  QuarantinedPart,
  SurvivedPart,
} from "./types.ts";
