/** Shared by the stand-ins: HTTP server, settings, fault injection, execution counts. */

export { encodeJson, JsonText } from "./encode_json.ts";
export { ExecutionCounter } from "./executions.ts";
export { RateLimiter } from "./rate_limiter.ts";
export type { Call, Reply } from "./reply.ts";
export { runStandin } from "./run_standin.ts";
export type { RunningStandin } from "./run_standin.ts";
export { parseJson, refuseRateLimited, StandinServer } from "./server.ts";
export {
  applySettingChanges,
  COMMON_SETTINGS,
  parseSettings,
} from "./settings.ts";
export type { CommonSettings, StandinArguments } from "./settings.ts";
