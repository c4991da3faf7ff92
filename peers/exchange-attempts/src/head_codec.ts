/** The head of an attempt as a line of JSON. */

import type { AttemptHead } from "@dandelionbank/types";
import * as v from "valibot";

export type HeadResult =
  | { readonly kind: "ok"; readonly head: AttemptHead }
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
  timeLeftMs: v.pipe(v.number(), v.minValue(0)),
  viewRevision: v.pipe(v.number(), v.integer()),
});

export function encodeHead(head: AttemptHead): string {
  return JSON.stringify(head) + "\n";
}

export function parseHead(line: string): HeadResult {
  const parsed = v.safeParse(HEAD_SCHEMA, readJson(line));
  if (parsed.success) return { kind: "ok", head: parsed.output };
  const issue = parsed.issues[0];
  return {
    kind: "invalid",
    problem: `${v.getDotPath(issue) ?? "head"}: ${issue.message}`,
  };
}

function readJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
