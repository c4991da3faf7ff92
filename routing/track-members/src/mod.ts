/** Membership of targets as seen by one process. */

export {
  createMembershipState,
  updateMembership,
} from "./update_membership.ts";
export type { MembershipState } from "./update_membership.ts";
export type * from "./types.ts";
