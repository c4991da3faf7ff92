/** Requests that were under way at targets that crashed. */

export {
  createCrashState,
  recordLostAnswer,
  recordTargetDown,
} from "./detect_crashes.ts";
export type { CrashState } from "./detect_crashes.ts";
