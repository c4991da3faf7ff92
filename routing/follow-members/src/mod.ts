/** Membership as one process sees it. */

export { createMemberState, followMembers } from "./follow_members.ts";
export type { MemberState } from "./follow_members.ts";
export type * from "./types.ts";
