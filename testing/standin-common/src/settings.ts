/**
 * Settings of a stand-in, including its faults. Each can be given as a flag at
 * start and changed by `POST /faults` at run time.
 */

import { parseArgs } from "node:util";

export type SettingValue = boolean | number | string;

export interface CommonSettings {
  /** Answers every call with 503. */
  readonly outage: boolean;
  /** Accepts connections and calls, but never answers. */
  readonly silent: boolean;
  /** Delay before a call is handled, even if the caller has disconnected meanwhile. */
  readonly delayMs: number;
  /** Closes the connection in place of answering any call other than GET. */
  readonly dropAnswer: boolean;
  /** Sends only the first half of a JSON body. */
  readonly garbleAnswer: boolean;
  /** Permanently stops answers on the connections open now; new ones work. */
  readonly freezeConnections: boolean;
  /** Calls above this rate are answered 429; 0 means no limit. */
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

/** Returns the settings with `changes` applied; throws on an unknown name or a wrong type. */
export function applySettingChanges<Settings extends CommonSettings>(
  settings: Settings,
  changes: unknown,
): Settings {
  if (typeof changes !== "object" || changes === null) {
    throw new TypeError("Settings must be a JSON object");
  }
  for (const [name, value] of Object.entries(changes)) {
    const current: unknown = Reflect.get(settings, name);
    if (current === undefined) {
      throw new TypeError(`No setting ${name}`);
    }
    if (typeof value !== typeof current) {
      throw new TypeError(`Setting ${name} must be a ${typeof current}`);
    }
  }
  return { ...settings, ...changes };
}

export interface StandinArguments<Settings> {
  readonly listen: string;
  readonly settings: Settings;
}

/** Parses `--listen` and one flag per setting, such as `--delay-ms 5`. */
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

function parseValue(text: string, defaultValue: unknown): SettingValue {
  return typeof defaultValue === "string" ? text : JSON.parse(text);
}
