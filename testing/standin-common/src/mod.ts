/** What the stand-ins share: HTTP server, settings and faults, counts, start as a process. */

export { Executions } from "./executions.ts";
export { RateLimit } from "./rate_limit.ts";
export type { Call, Reply } from "./reply.ts";
export { runStandin } from "./run_standin.ts";
export type { RunningStandin } from "./run_standin.ts";
export { parseJson, refuseForRate, StandinServer } from "./server.ts";
export { changeSettings, COMMON_SETTINGS, parseSettings } from "./settings.ts";
export type { CommonSettings, StandinArguments } from "./settings.ts";
