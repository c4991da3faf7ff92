/**
 * Frames of an attempt as lines of JSON. Data frames are by far the most, so
 * their few fields are checked by hand; the others go through a schema.
 */

import type { AttemptData, PeerFrame } from "@dandelionbank/types";
import * as v from "valibot";
import { checkValue, readJson } from "./read_line.ts";

export type FrameResult =
  | { readonly kind: "ok"; readonly frame: PeerFrame }
  | { readonly kind: "invalid"; readonly problem: string };

const COUNT = v.pipe(v.number(), v.integer(), v.minValue(0));
const LOAD = v.object({
  inFlight: COUNT,
  queued: COUNT,
  cachedTokens: COUNT,
});
const OUTCOME = v.variant("kind", [
  v.object({ kind: v.literal("answered"), lengthBytes: COUNT }),
  v.object({
    kind: v.literal("notRun"),
    proof: v.variant("kind", [
      v.object({ kind: v.literal("neverDispatched") }),
      v.object({ kind: v.literal("refusedByAgent"), attemptId: v.string() }),
    ]),
    code: v.string(),
    retryAfterMs: v.pipe(v.number(), v.minValue(0)),
  }),
  v.object({
    kind: v.literal("unknown"),
    code: v.string(),
    retryAfterMs: v.optional(v.pipe(v.number(), v.minValue(0))),
  }),
  v.object({
    kind: v.literal("failed"),
    code: v.string(),
    retryAfterMs: v.optional(v.pipe(v.number(), v.minValue(0))),
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
    retryAfterMs: v.pipe(v.number(), v.minValue(0)),
    load: LOAD,
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
    load: LOAD,
  }),
  v.object({
    type: v.literal("failed"),
    attemptId: v.string(),
    code: v.string(),
    mayHaveRun: v.boolean(),
    load: LOAD,
  }),
  v.object({
    type: v.literal("outcome"),
    attemptId: v.string(),
    outcome: OUTCOME,
  }),
]);

export function encodeFrame(frame: PeerFrame): string {
  return JSON.stringify(frame) + "\n";
}

export function parseFrame(line: string): FrameResult {
  const value = readJson(line);
  if (isData(value)) return { kind: "ok", frame: value };
  const checked = checkValue(FRAME_SCHEMA, { value, what: "frame" });
  return checked.kind === "ok" ? { kind: "ok", frame: checked.value } : checked;
}

function isData(value: unknown): value is AttemptData {
  const data = value as Partial<AttemptData> | undefined | null;
  return data?.type === "data" &&
    typeof data.attemptId === "string" &&
    typeof data.data === "string" &&
    Number.isInteger(data.sequence);
}
