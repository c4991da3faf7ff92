/** Schemas of single fields, and the telling of their problems. */

export { describeFound, describeIssues } from "./describe_issues.ts";
export type { DescribeOptions } from "./describe_issues.ts";
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
