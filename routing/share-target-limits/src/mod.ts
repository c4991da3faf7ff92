/** Request limits that targets name, and this entry's share of them. */

export { MAX_REPORTS, REPORT_MS, TargetLimits } from "./target_limits.ts";
export type {
  LimitChange,
  LimitReport,
  TargetLimitsOptions,
} from "./target_limits.ts";
