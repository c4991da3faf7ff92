/** Schemas of contracts and operators, whose keys authorise calls. */

import {
  digestField,
  integerBetween,
  listOf,
  nameField,
  numberBetween,
} from "@dandelionbank/schemas";
import * as v from "valibot";

const MAX_KEY_DIGESTS = 64;
const MAX_DURATION_MS = 3_600_000;

const KEY_DIGESTS_SCHEMA = listOf(digestField(), {
  maxLength: MAX_KEY_DIGESTS,
});

const OBJECTIVE_SCHEMA = v.strictObject({
  firstTokenMs: integerBetween({ min: 1, max: MAX_DURATION_MS }),
  betweenTokensMs: integerBetween({ min: 1, max: MAX_DURATION_MS }),
  answeredMs: integerBetween({ min: 1, max: MAX_DURATION_MS }),
}, "an object with firstTokenMs, betweenTokensMs and answeredMs");

export const CONTRACT_SCHEMA = v.strictObject({
  organisation: nameField(),
  keyDigests: KEY_DIGESTS_SCHEMA,
  requestsPerSecond: numberBetween({ min: 0.001, max: 1_000_000 }),
  concurrentRequests: integerBetween({ min: 1, max: 1_000_000 }),
  tokensPerMinute: integerBetween({ min: 1, max: 1_000_000_000_000 }),
  shareWeight: numberBetween({ min: 0.001, max: 1_000_000 }),
  priority: integerBetween({ min: 0, max: 9 }),
  objective: OBJECTIVE_SCHEMA,
}, "a contract object");

export const OPERATOR_SCHEMA = v.strictObject({
  name: nameField(),
  keyDigests: KEY_DIGESTS_SCHEMA,
}, "an operator object");
