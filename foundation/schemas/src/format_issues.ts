/** Tells valibot's issues as lines: the field's path, what was found, what was expected. */

import type * as v from "valibot";

const MAX_FOUND_LENGTH = 60;

export interface FormatIssuesOptions {
  /** Stands for the whole value in a problem that concerns all of it. */
  readonly root: string;
}

/** One line for each issue. Each schema's message must say what is expected. */
export function formatIssues(
  issues: readonly v.BaseIssue<unknown>[],
  { root }: FormatIssuesOptions,
): readonly string[] {
  return issues.map((issue) => describeIssue(issue, root));
}

function describeIssue(issue: v.BaseIssue<unknown>, root: string): string {
  const path = describePath(issue, root);
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

function describePath(issue: v.BaseIssue<unknown>, root: string): string {
  const keys = issue.path?.map((item) => item.key) ?? [];
  return keys.reduce<string>(appendKey, "") || root;
}

function appendKey(path: string, key: unknown): string {
  if (typeof key === "number") return `${path}[${key}]`;
  return path === "" ? String(key) : `${path}.${String(key)}`;
}

/** An object's schema reports a missing field under the object's own message. */
function isMissingField(issue: v.BaseIssue<unknown>): boolean {
  const isObject = issue.type === "strict_object" || issue.type === "object";
  return isObject && issue.input === undefined && issue.path !== undefined;
}

/** Shows a value in a problem; long texts are cut. */
export function describeInput(input: unknown): string {
  if (input === undefined) return "nothing";
  if (Array.isArray(input)) return `a list of ${input.length}`;
  if (typeof input === "object" && input !== null) return "an object";
  const text = JSON.stringify(input) ?? typeof input;
  return text.length <= MAX_FOUND_LENGTH
    ? text
    : `${text.slice(0, MAX_FOUND_LENGTH)}…`;
}
