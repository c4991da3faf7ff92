/** Election of a group's coordinator. */

export {
  adoptNewerTerm,
  claimLeadershipOnTimeout,
  computePollIntervalMs,
  createLeadershipState,
  followCoordinator,
  joinGroup,
  restartElectionTimeout,
} from "./elect_coordinator.ts";
export type { Leadership, LeadershipState } from "./elect_coordinator.ts";
