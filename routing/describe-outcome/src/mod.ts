/** Error responses for requests without a target's answer. */

export { toCallerCode } from "./caller_code.ts";
export { describeOutcome } from "./describe_outcome.ts";
export type { DescribedOutcome } from "./describe_outcome.ts";
export { REASONS } from "./reasons.ts";
export type { Reason, ReasonCode, RejectionCode } from "./reasons.ts";
