/** Serves metrics, health and readiness over HTTP. */

export { ObservabilityServer } from "./observability_server.ts";
export type {
  ObservabilityOptions,
  Readiness,
} from "./observability_server.ts";
