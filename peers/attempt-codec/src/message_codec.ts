/**
 * Encodes and parses the first line of an attempt request, which is JSON: an
 * attempt for an agent, a relay to a key's home entry, or a query (`question` on
 * the wire) about an attempt sent before.
 */

import type { PeerMessage } from "@dandelionbank/types";
import * as v from "valibot";
import { parseJsonLine, validateLine } from "./json_line.ts";

export type MessageResult =
  | { readonly kind: "ok"; readonly message: PeerMessage }
  | { readonly kind: "invalid"; readonly problem: string };

const HEAD_SCHEMA = v.object({
  attemptId: v.pipe(v.string(), v.minLength(1), v.maxLength(200)),
  requestId: v.pipe(v.string(), v.minLength(1), v.maxLength(200)),
  organisation: v.pipe(v.string(), v.minLength(1)),
  key: v.optional(v.pipe(v.string(), v.minLength(1), v.maxLength(600))),
  fingerprint: v.pipe(v.string(), v.minLength(1)),
  entry: v.pipe(v.string(), v.minLength(1)),
  entryIncarnation: v.pipe(v.string(), v.minLength(1)),
  idempotent: v.boolean(),
  method: v.pipe(v.string(), v.minLength(1)),
  path: v.pipe(v.string(), v.startsWith("/")),
  contentType: v.string(),
  priority: v.pipe(v.number(), v.integer()),
  timeLeftMs: v.pipe(v.number(), v.finite(), v.minValue(0)),
  viewRevision: v.pipe(v.number(), v.integer()),
});

const MESSAGE_SCHEMA = v.variant("kind", [
  v.object({
    kind: v.literal("attempt"),
    agentIncarnation: v.string(),
    suspect: v.boolean(),
    head: HEAD_SCHEMA,
  }),
  v.object({
    kind: v.literal("relay"),
    homeIncarnation: v.string(),
    pool: v.pipe(v.string(), v.minLength(1)),
    resumable: v.boolean(),
    estimatedTokens: v.pipe(v.number(), v.finite(), v.minValue(0)),
    supersedes: v.array(v.pipe(v.number(), v.integer(), v.minValue(1))),
    head: HEAD_SCHEMA,
  }),
  v.object({
    kind: v.literal("question"),
    agentIncarnation: v.string(),
    attemptId: v.pipe(v.string(), v.minLength(1), v.maxLength(200)),
    organisation: v.pipe(v.string(), v.minLength(1)),
    fingerprint: v.pipe(v.string(), v.minLength(1)),
    key: v.optional(v.pipe(v.string(), v.minLength(1), v.maxLength(600))),
  }),
]);

export function encodeMessage(
  message: PeerMessage,
): string {
  return JSON.stringify(message) + "\n";
}

export function parseMessage(line: string): MessageResult {
  const value = parseJsonLine(line);
  const validated = validateLine(MESSAGE_SCHEMA, { value, what: "message" });
  return validated.kind === "ok"
    ? { kind: "ok", message: validated.value }
    : validated;
}
