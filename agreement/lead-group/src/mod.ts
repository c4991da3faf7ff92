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
export { countCallsAtOnce, planRelays } from "./plan_relays.ts";
export type { RelayCandidate, RelayPlan } from "./plan_relays.ts";
