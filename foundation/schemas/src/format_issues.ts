/** Formats valibot's issues as lines: path of the field, value found, value expected. */

import type * as v from "valibot";

const MAX_INPUT_LENGTH = 60;

export interface FormatIssuesOptions {
  /** Name that is printed as the path of an issue with the value as a whole. */
  readonly root: string;
}

/**
 * Formats each issue as one line. The message of each schema must say what is
 * expected.
 */
export function formatIssues(
  issues: readonly v.BaseIssue<unknown>[],
  { root }: FormatIssuesOptions,
): readonly string[] {
  return issues.map((issue) => formatIssue(issue, root));
}

function formatIssue(issue: v.BaseIssue<unknown>, root: string): string {
  const path = formatPath(issue, root);
  const key = issue.path?.at(-1);
  if (key !== undefined && issue.expected === "never") {
    return `${path}: found an unknown field, expected none of that name`;
  }
  if (isMissingField(issue)) {
    return `${path}: found nothing, expected the field`;
  }
  return `${path}: found ${
    describeInput(issue.input)
  }, expected ${issue.message}`;
}

function formatPath(issue: v.BaseIssue<unknown>, root: string): string {
  const keys = issue.path?.map((item) => item.key) ?? [];
  return keys.reduce<string>(appendKey, "") || root;
}

function appendKey(path: string, key: unknown): string {
  if (typeof key === "number") return `${path}[${key}]`;
  return path === "" ? String(key) : `${path}.${String(key)}`;
}

/** Whether a field is missing, which the schema of its object reports. */
function isMissingField(issue: v.BaseIssue<unknown>): boolean {
  const isObject = issue.type === "strict_object" || issue.type === "object";
  return isObject && issue.input === undefined && issue.path !== undefined;
}

/** Formats a value for a problem report; long texts are truncated. */
export function describeInput(input: unknown): string {
  if (input === undefined) return "nothing";
  if (Array.isArray(input)) return `a list of ${input.length}`;
  if (typeof input === "object" && input !== null) return "an object";
  const text = JSON.stringify(input) ?? typeof input;
  return text.length <= MAX_INPUT_LENGTH
    ? text
    : `${text.slice(0, MAX_INPUT_LENGTH)}…`;
}
