/** Membership as one process sees it. */

export { createMembershipState, updateMembership } from "./follow_members.ts";
export type { MembershipState } from "./follow_members.ts";
export type * from "./types.ts";
