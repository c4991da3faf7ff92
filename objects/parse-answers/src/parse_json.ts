/** Parses JSON and validates it; invalid JSON and invalid values fail alike. */

import { createError } from "@dandelionbank/error";
import { formatIssues } from "@dandelionbank/schemas";
import * as v from "valibot";

export const MALFORMED_ANSWER_CODE = "DANDELIONBANK_PLATFORM_ANSWER_MALFORMED";

export function parseJson<Output>(
  text: string,
  schema: v.GenericSchema<unknown, Output>,
): Output {
  const result = v.safeParse(schema, parseSyntax(text));
  if (result.success) return result.output;
  throw createMalformedError(
    formatIssues(result.issues, { root: "answer" }).join("; "),
  );
}

function parseSyntax(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw createMalformedError(String(error));
  }
}

function createMalformedError(problem: string): Error {
  return createError(`The platform's answer is malformed: ${problem}`, {
    code: MALFORMED_ANSWER_CODE,
    step: "parse answer",
    peer: "platform",
    hint: "Check that --platform-url is the URL of the platform's object API",
  });
}
