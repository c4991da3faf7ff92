/** Reads and validates settings from flags and environment variables. */

export { AGENT_SETTINGS, createTarget } from "./agent_settings.ts";
export type { AgentSettings } from "./agent_settings.ts";
export { toFlagName, toVariableName } from "./definition.ts";
export type {
  SettingDefinition,
  SettingDefinitions,
  ValuesOf,
} from "./definition.ts";
export { ENTRY_SETTINGS } from "./entry_settings.ts";
export type { EntrySettings } from "./entry_settings.ts";
export { deriveUrl } from "./listen_address.ts";
export type { ListenAddress } from "./listen_address.ts";
export type { LogFormat } from "./process_settings.ts";
export {
  readAgentSettings,
  readDaemonSettings,
  readEntrySettings,
} from "./read_daemon_settings.ts";
export type { SettingsResult } from "./read_daemon_settings.ts";
export { parseSettings } from "./parse_settings.ts";
export type { ParsedSettings, SettingTexts } from "./parse_settings.ts";
export {
  durationSetting,
  textSetting,
  urlListSetting,
} from "./setting_schemas.ts";
