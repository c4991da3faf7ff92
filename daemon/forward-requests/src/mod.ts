/**
 * Forwarding of callers' requests to targets, for the entry `serve-ingress`. The
 * entry `serve-entry`, whose requests go to targets through agents, uses
 * `route-requests` instead.
 */

export { BodyIntake } from "./body_intake.ts";
export type { BodyIntakeOptions } from "./body_intake.ts";
export type { ForwardContext } from "./forward_context.ts";
export { ForwardMetrics } from "./forward_metrics.ts";
export { Forwarder } from "./forwarder.ts";
export { logNoticeChange } from "./log_notice_change.ts";
export { routeRequest } from "./route_request.ts";
export type { RouteDecision } from "./route_request.ts";
export { StreamAdmission } from "./stream_admission.ts";
export type { GroupLoad } from "./stream_admission.ts";
export { TargetPools } from "./target_pools.ts";
