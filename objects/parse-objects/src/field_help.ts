/** Help text for each field of the objects that operators write. */

import type {
  Config,
  Contract,
  Operator,
  PlannedStop,
} from "@dandelionbank/types";

type HelpOf<Value> = { readonly [Field in keyof Required<Value>]: string };

interface WritableFields {
  readonly contract: HelpOf<Contract>;
  readonly config: HelpOf<Config>;
  readonly stop: HelpOf<PlannedStop>;
  readonly operator: HelpOf<Operator>;
}

const KEY_DIGESTS_HELP =
  "SHA-256 digests of keys, as printed by `dandelionbank digest`; the keys themselves are not stored";

export const FIELD_HELP: WritableFields = {
  contract: {
    organisation: "Name of the organisation, and of the object",
    keyDigests: KEY_DIGESTS_HELP,
    requestsPerSecond: "Maximum number of requests started per second",
    concurrentRequests: "Maximum number of concurrent requests",
    tokensPerMinute: "Maximum number of input and output tokens per minute",
    shareWeight: "Weight among organisations when capacity is short",
    priority: "From 0 (lowest) to 9 (highest)",
    objective: "Latency promised for 95 of 100 requests",
  },
  config: {
    pools: "Pools of targets, with their models or their routes",
    drainTimeoutMs: "Maximum time a planned stop waits for requests in flight",
    requestTimeoutMs: "Maximum duration of a request, from its arrival",
    hedgeAfterMs:
      "Time without an answer after which an idempotent request gets a second attempt, in ms; 0 disables this",
    progressTimeoutMs:
      "Time without progress after which an attempt's connection is replaced",
    bodyLimitBytes: "Maximum size of the body of a caller's request",
    ticketValidityMs:
      "Validity of the addresses and the ticket given to callers",
    placement: "Policy that selects the target of a request",
  },
  stop: {
    target: "Name of the target, and of the object",
    reason: "Why the target is to stop",
    requestedBy: "Operator who requested the stop; set by the entry",
  },
  operator: {
    name: "Name of the operator, and of the object",
    keyDigests: KEY_DIGESTS_HELP,
  },
};
