/**
 * Starts entries of the users' platform with its stand-ins, for tests. Package
 * `run-site` starts the other kind of site, where `dandelionbankd` runs.
 */

export { EntryProgram, readPeakResidentBytes } from "./entry_program.ts";
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
  ROUTE,
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
