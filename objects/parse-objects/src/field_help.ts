/** What each field of the objects that operators write is for, as data. */

import type {
  Config,
  Contract,
  Operator,
  PlannedStop,
} from "@dandelionbank/types";

type HelpOf<Value> = { readonly [Field in keyof Required<Value>]: string };

interface OperatedFields {
  readonly contract: HelpOf<Contract>;
  readonly config: HelpOf<Config>;
  readonly stop: HelpOf<PlannedStop>;
  readonly operator: HelpOf<Operator>;
}

const KEY_DIGESTS_HELP =
  "SHA-256 digests of keys, as `dandelionbank digest` prints them; the key itself is kept nowhere";

export const FIELD_HELP: OperatedFields = {
  contract: {
    organisation: "The organisation's name, which is the object's name too",
    keyDigests: KEY_DIGESTS_HELP,
    requestsPerSecond: "Requests that may begin in a second",
    concurrentRequests: "Requests that may run at once",
    tokensPerMinute: "Tokens, asked and answered, in a minute",
    shareWeight: "Weight among organisations when capacity is short",
    priority: "From 0, the first to wait, to 9, the first to be served",
    objective: "Latency promised for 95 in 100 requests",
  },
  config: {
    pools: "Pools of targets, with their models or their routes",
    drainTimeoutMs: "Longest time a planned stop waits for work in flight",
    requestTimeoutMs: "Longest time a request may take, from its arrival",
    hedgeAfterMs:
      "Silence of a request that may be repeated after which a second attempt starts, in ms; 0 is never",
    progressTimeoutMs:
      "Longest silence of an attempt before its connection is replaced",
    bodyLimitBytes: "Largest body of a caller's request",
    ticketValidityMs: "How long callers keep the addresses and the ticket",
    placement: "How a request's target is picked",
  },
  stop: {
    target: "The target's name, which is the object's name too",
    reason: "Why the target is to stop",
    requestedBy: "The operator who asked; set by the entry",
  },
  operator: {
    name: "The operator's name, which is the object's name too",
    keyDigests: KEY_DIGESTS_HELP,
  },
};
