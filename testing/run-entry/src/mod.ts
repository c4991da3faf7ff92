/** Starts entries with the users' platform's stand-ins, for tests. */

export { EntryProgram } from "./entry_program.ts";
export type { EntryProgramOptions } from "./entry_program.ts";
export {
  call,
  CALLER_KEY,
  createBootSettings,
  createConfiguration,
  fetchReadinessStatus,
  findFreePort,
  queryDirectory,
  renderBootSettings,
  ROUTE_HOST,
  ROUTES,
  startSite,
  waitFor,
} from "./run_entry.ts";
export type {
  CallAnswer,
  CallOptions,
  LoggedLine,
  Site,
  SiteOptions,
} from "./run_entry.ts";
