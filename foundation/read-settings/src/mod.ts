/** Settings from flags and environment variables, checked as a whole. */

export { AGENT_SETTINGS, targetOf } from "./agent_settings.ts";
export type { AgentSettings } from "./agent_settings.ts";
export { flagOf, variableOf } from "./definition.ts";
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
export { parseTexts } from "./parse_texts.ts";
export type { ParsedTexts, SettingTexts } from "./parse_texts.ts";
export {
  durationSetting,
  textSetting,
  urlListSetting,
} from "./setting_schemas.ts";
