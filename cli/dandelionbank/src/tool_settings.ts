/** The settings that all commands of the tool share. */

import {
  durationSetting,
  parseSettings,
  type SettingDefinitions,
  textSetting,
  urlListSetting,
  type ValuesOf,
} from "@dandelionbank/read-settings";
import { ToolFailure } from "./tool_failure.ts";

export const TOOL_SETTINGS = {
  entryUrl: {
    presence: "required",
    schema: urlListSetting(),
    help: "URLs of entries, separated by commas; tried in this order",
  },
  key: {
    presence: "required",
    schema: textSetting(),
    help: "The operator's key; preferably set by its environment variable",
    secret: true,
  },
  timeoutMs: {
    presence: "defaulted",
    schema: durationSetting({ min: 1, max: 600_000 }),
    defaultText: "10000",
    unit: "ms",
    help: "Longest wait for an answer from an entry",
  },
} as const satisfies SettingDefinitions;

export type ToolSettings = ValuesOf<typeof TOOL_SETTINGS>;

/** The texts of the settings' flags, as parsed by yargs. */
export interface SettingArguments {
  readonly entryUrl?: string | undefined;
  readonly key?: string | undefined;
  readonly timeoutMs?: string | undefined;
}

export function readToolSettings(
  flags: SettingArguments,
  environment: Readonly<Record<string, string | undefined>>,
): ToolSettings {
  const { entryUrl, key, timeoutMs } = flags;
  const texts = { flags: { entryUrl, key, timeoutMs }, environment };
  const { values, problems } = parseSettings(TOOL_SETTINGS, texts);
  if (problems.length === 0) return values as ToolSettings;
  throw new ToolFailure("usage", {
    lines: ["Wrong settings", ...problems],
    details: { problems },
  });
}
