/** What a caller is told when the answer is not the target's own. */

export { toCallerCode } from "./caller_code.ts";
export { describeOutcome } from "./describe_outcome.ts";
export type { DescribedOutcome } from "./describe_outcome.ts";
export { REASONS } from "./reasons.ts";
export type { Reason, ReasonCode, RejectionCode } from "./reasons.ts";
