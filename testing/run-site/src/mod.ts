/**
 * A site on loopback in which each component is a process, for tests and the
 * quickstart. Its entries and agents are `dandelionbankd` with the object API of
 * `standin-platform`; package `run-entry` starts entries of the users' platform.
 */

export type { CallerReply, CallerRequest } from "./call_entry.ts";
export { callEntry, fetchTicket } from "./call_entry.ts";
export { ChildProgram } from "./child_program.ts";
export { Site } from "./site.ts";
export type { SiteOptions } from "./site.ts";
export { createContract } from "./site_objects.ts";
