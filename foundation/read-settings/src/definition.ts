/**
 * Definitions of settings, as data. The names of the flag and the environment
 * variable are derived from the field name: `callerListen` is `--caller-listen`
 * and `DANDELIONBANK_CALLER_LISTEN`.
 */

import type * as v from "valibot";

export type Presence = "required" | "optional" | "defaulted";

export interface SettingDefinition<Value = unknown> {
  readonly presence: Presence;
  /** Converts the text of the flag or environment variable to the value. */
  readonly schema: v.GenericSchema<string, Value>;
  readonly help: string;
  /** The text that is used if the setting is absent. */
  readonly defaultText?: string;
  readonly unit?: string;
  /** Whether the text is a secret, which is never shown. */
  readonly secret?: boolean;
}

export type SettingDefinitions = Readonly<Record<string, SettingDefinition>>;

/** The values of a set of definitions; those of optional settings may be undefined. */
export type ValuesOf<Definitions extends SettingDefinitions> = {
  readonly [Name in keyof Definitions]: ValueOf<Definitions[Name]>;
};

type ValueOf<Definition> = Definition extends SettingDefinition<infer Value>
  ? Definition extends { readonly presence: "optional" } ? Value | undefined
  : Value
  : never;

/** Converts `callerListen` to `caller-listen`. */
export function toFlagName(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Converts `callerListen` to `DANDELIONBANK_CALLER_LISTEN`. */
export function toVariableName(name: string): string {
  return `DANDELIONBANK_${toFlagName(name).replaceAll("-", "_").toUpperCase()}`;
}
