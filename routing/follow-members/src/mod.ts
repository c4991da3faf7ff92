/** Membership of targets as seen by one process. */

export { createMembershipState, updateMembership } from "./follow_members.ts";
export type { MembershipState } from "./follow_members.ts";
export type * from "./types.ts";
