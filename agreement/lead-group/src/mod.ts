/** Election of a group's coordinator. */

export {
  adoptNewerTerm,
  claimLeadershipOnTimeout,
  computePollIntervalMs,
  createLeadershipState,
  followCoordinator,
  restartElectionTimeout,
} from "./lead_group.ts";
export type { Leadership, LeadershipState } from "./lead_group.ts";
