/** Reads one line of JSON against a schema. */

import * as v from "valibot";

export type LineResult<Value> =
  | { readonly kind: "ok"; readonly value: Value }
  | { readonly kind: "invalid"; readonly problem: string };

/** The parsed line, or `undefined` if it is not JSON. */
export function readJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

/** `what` names the line itself in a problem that concerns no field of it. */
export function checkValue<Value>(
  schema: v.GenericSchema<unknown, Value>,
  checked: { readonly value: unknown; readonly what: string },
): LineResult<Value> {
  const parsed = v.safeParse(schema, checked.value);
  if (parsed.success) return { kind: "ok", value: parsed.output };
  const issue = parsed.issues[0];
  const place = v.getDotPath(issue) ?? checked.what;
  return { kind: "invalid", problem: `${place}: ${issue.message}` };
}
