/** Starts entries with the users' platform's stand-ins, for tests. */

export { EntryProgram } from "./entry_program.ts";
export type { EntryProgramOptions } from "./entry_program.ts";
export {
  call,
  createBootSettings,
  createConfiguration,
  fetchReadinessStatus,
  findFreePort,
  HOST,
  KEY,
  queryDirectory,
  renderBootSettings,
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
