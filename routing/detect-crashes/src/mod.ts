/** Detects which requests were running on targets that crashed. */

export {
  createCrashState,
  recordLostAnswer,
  recordTargetAlive,
  recordTargetDown,
} from "./detect_crashes.ts";
export type { Crash, CrashState, LostRequest } from "./detect_crashes.ts";
