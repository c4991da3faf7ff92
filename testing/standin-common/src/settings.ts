/**
 * Settings of a stand-in, faults among them. All can be given as flags when
 * the stand-in starts and be changed by `POST /faults` while it runs.
 */

import { parseArgs } from "node:util";

export type SettingValue = boolean | number | string;

export interface CommonSettings {
  /** Answers 503. */
  readonly outage: boolean;
  /** Accepts, but never answers. */
  readonly silent: boolean;
  /** Waits before it takes up a call, whether or not the caller still waits. */
  readonly delayMs: number;
  /** Cuts the connection in place of the answer to any call but a GET. */
  readonly dropAnswer: boolean;
  /** Answers half of the JSON. */
  readonly garbleAnswer: boolean;
  /** Silences the connections open now, for good; new ones work. */
  readonly freezeConnections: boolean;
  /** Beyond it, 429; 0 is no limit. */
  readonly rateLimitPerSecond: number;
}

export const COMMON_SETTINGS: CommonSettings = {
  outage: false,
  silent: false,
  delayMs: 0,
  dropAnswer: false,
  garbleAnswer: false,
  freezeConnections: false,
  rateLimitPerSecond: 0,
};

/** The settings with the changes in force; throws on an unknown name or a wrong type. */
export function applySettingChanges<Settings extends CommonSettings>(
  settings: Settings,
  changes: unknown,
): Settings {
  if (typeof changes !== "object" || changes === null) {
    throw new TypeError("Settings must be a JSON object");
  }
  for (const [name, value] of Object.entries(changes)) {
    const known: unknown = Reflect.get(settings, name);
    if (known === undefined) throw new TypeError(`No setting ${name}`);
    if (typeof value !== typeof known) {
      throw new TypeError(`Setting ${name} must be a ${typeof known}`);
    }
  }
  return { ...settings, ...changes };
}

export interface StandinArguments<Settings> {
  readonly listen: string;
  readonly settings: Settings;
}

/** Reads `--listen` and one flag for each setting, as `--delay-ms 5`. */
export function parseSettings<Settings extends CommonSettings>(
  defaults: Settings,
  args: readonly string[],
): StandinArguments<Settings> {
  const names = Object.keys(defaults);
  const options = Object.fromEntries(
    ["listen", ...names.map(toFlag)].map((flag) => [
      flag,
      { type: "string" as const },
    ]),
  );
  const { values } = parseArgs({ args: [...args], options });
  const changes = names
    .filter((name) => values[toFlag(name)] !== undefined)
    .map((name) => [
      name,
      parseValue(String(values[toFlag(name)]), Reflect.get(defaults, name)),
    ]);
  return {
    listen: String(values["listen"] ?? "127.0.0.1:0"),
    settings: applySettingChanges(defaults, Object.fromEntries(changes)),
  };
}

function toFlag(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

function parseValue(text: string, like: unknown): SettingValue {
  return typeof like === "string" ? text : JSON.parse(text);
}
