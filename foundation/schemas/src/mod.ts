/** Schemas of single fields, and the formatting of their issues. */

export { describeInput, formatIssues } from "./format_issues.ts";
export type { FormatIssuesOptions } from "./format_issues.ts";
export {
  digestField,
  integerBetween,
  listOf,
  nameField,
  numberBetween,
  textField,
  urlField,
} from "./fields.ts";
export type { Bounds, ListOptions } from "./fields.ts";
