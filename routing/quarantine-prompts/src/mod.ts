/** Identifies and quarantines parts of prompts that crash targets. */

export { countLostParts } from "./count_lost_parts.ts";
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
