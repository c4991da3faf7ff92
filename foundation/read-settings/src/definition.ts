/**
 * A setting as data. Its field name gives the flag and the variable:
 * `callerListen` is `--caller-listen` and `DANDELIONBANK_CALLER_LISTEN`.
 */

import type * as v from "valibot";

export type Presence = "required" | "optional" | "defaulted";

export interface SettingDefinition<Value = unknown> {
  readonly presence: Presence;
  /** Turns the text of the flag or variable into the value. */
  readonly schema: v.GenericSchema<string, Value>;
  readonly help: string;
  /** The text that stands for an absent setting. */
  readonly defaultText?: string;
  readonly unit?: string;
  /** A secret's text is never shown. */
  readonly secret?: boolean;
}

export type SettingDefinitions = Readonly<Record<string, SettingDefinition>>;

/** The values that definitions yield; an optional one may be undefined. */
export type ValuesOf<Definitions extends SettingDefinitions> = {
  readonly [Name in keyof Definitions]: ValueOf<Definitions[Name]>;
};

type ValueOf<Definition> = Definition extends SettingDefinition<infer Value>
  ? Definition extends { readonly presence: "optional" } ? Value | undefined
  : Value
  : never;

/** `callerListen` becomes `caller-listen`. */
export function toFlagName(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** `callerListen` becomes `DANDELIONBANK_CALLER_LISTEN`. */
export function toVariableName(name: string): string {
  return `DANDELIONBANK_${toFlagName(name).replaceAll("-", "_").toUpperCase()}`;
}
