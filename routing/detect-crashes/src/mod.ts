/** Detects which requests were running on targets that crashed. */

export {
  createCrashState,
  recordLostAnswer,
  recordTargetDown,
} from "./detect_crashes.ts";
export type { CrashedTarget, CrashState } from "./detect_crashes.ts";
