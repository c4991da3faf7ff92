/**
 * Encodes and parses the frames that answer an attempt, one line of JSON each.
 * Most frames are data frames, so their few fields are checked directly; all
 * others are validated by a schema.
 */

import type { AttemptData, PeerFrame } from "@dandelionbank/types";
import * as v from "valibot";
import { parseJsonLine, validateLine } from "./json_line.ts";

export type FrameResult =
  | { readonly kind: "ok"; readonly frame: PeerFrame }
  | { readonly kind: "invalid"; readonly problem: string };

const COUNT = v.pipe(v.number(), v.integer(), v.minValue(0));
/** JSON may hold numbers beyond all that JavaScript can represent. */
const DURATION = v.pipe(v.number(), v.finite(), v.minValue(0));
const LOAD_SCHEMA = v.object({
  inFlight: COUNT,
  queued: COUNT,
  cachedTokens: COUNT,
});
const OUTCOME_SCHEMA = v.variant("kind", [
  v.object({ kind: v.literal("answered"), lengthBytes: COUNT }),
  v.object({
    kind: v.literal("notRun"),
    proof: v.variant("kind", [
      v.object({ kind: v.literal("neverDispatched") }),
      v.object({ kind: v.literal("refusedByAgent"), attemptId: v.string() }),
    ]),
    code: v.string(),
    retryAfterMs: DURATION,
  }),
  v.object({
    kind: v.literal("unknown"),
    code: v.string(),
    retryAfterMs: v.optional(DURATION),
  }),
  v.object({
    kind: v.literal("failed"),
    code: v.string(),
    retryAfterMs: v.optional(DURATION),
  }),
]);
const FRAME_SCHEMA = v.variant("type", [
  v.object({
    type: v.literal("admitted"),
    attemptId: v.string(),
    answeredBy: v.string(),
  }),
  v.object({
    type: v.literal("refused"),
    attemptId: v.string(),
    code: v.string(),
    retryAfterMs: DURATION,
    load: LOAD_SCHEMA,
  }),
  v.object({
    type: v.literal("head"),
    attemptId: v.string(),
    status: v.pipe(v.number(), v.integer(), v.minValue(200), v.maxValue(599)),
    contentType: v.string(),
    encoding: v.picklist(["utf8", "base64"]),
  }),
  v.object({ type: v.literal("heartbeat"), attemptId: v.string() }),
  v.object({
    type: v.literal("end"),
    attemptId: v.string(),
    lengthBytes: COUNT,
    digest: v.string(),
    load: LOAD_SCHEMA,
  }),
  v.object({
    type: v.literal("failed"),
    attemptId: v.string(),
    code: v.string(),
    mayHaveRun: v.boolean(),
    load: LOAD_SCHEMA,
  }),
  v.object({
    type: v.literal("outcome"),
    attemptId: v.string(),
    outcome: OUTCOME_SCHEMA,
  }),
]);

export function encodeFrame(frame: PeerFrame): string {
  return JSON.stringify(frame) + "\n";
}

export function parseFrame(line: string): FrameResult {
  const value = parseJsonLine(line);
  if (isDataFrame(value)) return { kind: "ok", frame: value };
  const validated = validateLine(FRAME_SCHEMA, { value, what: "frame" });
  return validated.kind === "ok"
    ? { kind: "ok", frame: validated.value }
    : validated;
}

function isDataFrame(value: unknown): value is AttemptData {
  const data = value as Partial<AttemptData> | undefined | null;
  return data?.type === "data" &&
    typeof data.attemptId === "string" &&
    typeof data.data === "string" &&
    Number.isInteger(data.sequence);
}
