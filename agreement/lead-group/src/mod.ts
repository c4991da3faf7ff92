/** Coordination of a group. */

export {
  createLeadState,
  followCoordinator,
  noteNewerTerm,
  readChoicesInterval,
  readPollInterval,
  startWaiting,
  takeDuty,
} from "./lead_group.ts";
export type { Leadership, LeadState } from "./lead_group.ts";
