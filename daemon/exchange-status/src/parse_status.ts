/** Validates status datagrams, since other programs may send to the port too. */

import type { EntryStatus } from "@dandelionbank/track-entries";
import { EMPTY_PROMPT_REPORT } from "@dandelionbank/quarantine-prompts";
import { parseAddress } from "@dandelionbank/platform-adapter";
import * as v from "valibot";

const ADDRESS = v.pipe(
  v.string(),
  v.check((text) => parseAddress(text) !== undefined),
);
const NON_NEGATIVE = v.pipe(v.number(), v.finite(), v.minValue(0));
const PROMPTS = v.object({
  crashes: v.array(v.object({
    target: v.string(),
    ageMs: NON_NEGATIVE,
    requests: NON_NEGATIVE,
    parts: v.array(v.object({
      part: v.string(),
      requests: NON_NEGATIVE,
      depth: NON_NEGATIVE,
    })),
  })),
  survived: v.array(v.object({ part: v.string(), ageMs: NON_NEGATIVE })),
  survivedPrompts: NON_NEGATIVE,
  quarantined: v.array(
    v.object({ part: v.string(), remainingMs: NON_NEGATIVE }),
  ),
});
const STATUS = v.pipe(
  v.string(),
  v.parseJson(),
  v.object({
    name: v.string(),
    callersAddress: ADDRESS,
    peerAddress: ADDRESS,
    dataCentre: v.string(),
    takesCallers: v.boolean(),
    mayUseKeys: v.boolean(),
    activeByService: v.record(v.string(), NON_NEGATIVE),
    suspects: v.object({
      losses: v.array(v.object({
        fingerprint: v.string(),
        target: v.string(),
        alone: v.boolean(),
      })),
      quarantined: v.array(v.string()),
    }),
    // Entries of earlier versions do not send the following.
    prompts: v.optional(PROMPTS, EMPTY_PROMPT_REPORT),
    downTargets: v.optional(v.array(v.string()), []),
    targetLimits: v.optional(
      v.array(v.object({
        target: v.string(),
        perSecond: v.nullable(NON_NEGATIVE),
        ageMs: NON_NEGATIVE,
      })),
      [],
    ),
    leavingTargets: v.optional(v.array(v.string()), []),
  }),
);

/** Parses a status; returns undefined if the text is not a valid one. */
export function parseStatus(text: string): EntryStatus | undefined {
  const result = v.safeParse(STATUS, text);
  return result.success ? result.output : undefined;
}
