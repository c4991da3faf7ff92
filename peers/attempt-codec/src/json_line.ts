/** Parses one line of JSON and validates it against a schema. */

import * as v from "valibot";

export type LineResult<Value> =
  | { readonly kind: "ok"; readonly value: Value }
  | { readonly kind: "invalid"; readonly problem: string };

/** Returns the parsed line, or `undefined` if it is not JSON. */
export function parseJsonLine(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

/**
 * Validates a parsed line. A problem is named by the path of its field, or by
 * `what` if it concerns the line as a whole.
 */
export function validateLine<Value>(
  schema: v.GenericSchema<unknown, Value>,
  line: { readonly value: unknown; readonly what: string },
): LineResult<Value> {
  const parsed = v.safeParse(schema, line.value);
  if (parsed.success) return { kind: "ok", value: parsed.output };
  const issue = parsed.issues[0];
  const path = v.getDotPath(issue) ?? line.what;
  return { kind: "invalid", problem: `${path}: ${issue.message}` };
}
