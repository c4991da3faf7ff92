/** Coordination of a group. */

export {
  createLeadState,
  followCoordinator,
  noteNewerTerm,
  readPollInterval,
  startWaiting,
  takeDuty,
} from "./lead_group.ts";
export type { Leadership, LeadState } from "./lead_group.ts";
