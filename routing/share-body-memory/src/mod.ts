/** Shares a process's memory for bodies among the requests that hold one. */

export { BodyMemory } from "./body_memory.ts";
export type {
  BodyGrant,
  BodyMemoryOptions,
  BodyRefusal,
  BodyRefusalReason,
  ClaimResult,
  ExpiryResult,
  OpenOptions,
} from "./body_memory.ts";
