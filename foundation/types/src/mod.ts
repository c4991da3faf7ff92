/** Types that several packages share. This package has no run-time code. */

export type * from "./agent_view.ts";
export type * from "./allowance.ts";
export type * from "./attempt.ts";
export type * from "./config.ts";
export type * from "./contract.ts";
export type * from "./object_store.ts";
export type * from "./outcome.ts";
export type * from "./registration.ts";
export type * from "./status_report.ts";
export type * from "./step.ts";
export type * from "./stop.ts";
export type * from "./stored_object.ts";
export type * from "./target.ts";
export type * from "./target_notices.ts";
export type * from "./tls.ts";
export type * from "./view.ts";
export type * from "./view_exchange.ts";
export type * from "./group.ts";
export type * from "./ingress.ts";
export type * from "./registered_target.ts";
export type * from "./instant.ts";
