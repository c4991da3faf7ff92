/** Reads JSON against a schema, with one error for either failure. */

import { createError } from "@dandelionbank/error";
import { formatIssues } from "@dandelionbank/schemas";
import * as v from "valibot";

export const MALFORMED_CODE = "DANDELIONBANK_PLATFORM_ANSWER_MALFORMED";

export function parseJson<Output>(
  text: string,
  schema: v.GenericSchema<unknown, Output>,
): Output {
  const result = v.safeParse(schema, readJson(text));
  if (result.success) return result.output;
  throw malformed(formatIssues(result.issues, { root: "answer" }).join("; "));
}

function readJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw malformed(String(error));
  }
}

function malformed(problem: string): Error {
  return createError(`The platform's answer is malformed: ${problem}`, {
    code: MALFORMED_CODE,
    step: "parse answer",
    peer: "platform",
    hint: "Check that --platform-url is the platform's object API",
  });
}
