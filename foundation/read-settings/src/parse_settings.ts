/** Parses the texts of flags and environment variables, and reports all problems. */

import { describeInput } from "@dandelionbank/schemas";
import * as v from "valibot";
import {
  type SettingDefinition,
  type SettingDefinitions,
  toFlagName,
  toVariableName,
  type ValuesOf,
} from "./definition.ts";

export type Environment = Readonly<Record<string, string | undefined>>;

export interface SettingTexts {
  /** Texts of flags, keyed by the name of the setting. */
  readonly flags: Readonly<Record<string, string | undefined>>;
  readonly environment: Environment;
}

export interface ParsedSettings<Definitions extends SettingDefinitions> {
  /** Invalid settings are left out; absent optional ones are undefined. */
  readonly values: Partial<ValuesOf<Definitions>>;
  readonly problems: readonly string[];
}

export function parseSettings<Definitions extends SettingDefinitions>(
  definitions: Definitions,
  texts: SettingTexts,
): ParsedSettings<Definitions> {
  const values: Record<string, unknown> = {};
  const problems: string[] = [];
  for (const [name, definition] of Object.entries(definitions)) {
    const result = parseText({ name, definition, texts });
    if (result.problem !== undefined) problems.push(result.problem);
    else values[name] = result.value;
  }
  return { values: values as Partial<ValuesOf<Definitions>>, problems };
}

interface NamedText {
  readonly name: string;
  readonly definition: SettingDefinition;
  readonly texts: SettingTexts;
}

interface TextResult {
  readonly value?: unknown;
  readonly problem?: string;
}

function parseText({ name, definition, texts }: NamedText): TextResult {
  const flagText = texts.flags[name];
  const text = flagText ?? texts.environment[toVariableName(name)] ??
    definition.defaultText;
  const source = flagText === undefined
    ? toVariableName(name)
    : `--${toFlagName(name)}`;
  if (text === undefined) return describeAbsence(name, definition);
  const result = v.safeParse(definition.schema, text, { abortPipeEarly: true });
  if (result.success) return { value: result.output };
  const expected = result.issues[0].message;
  return {
    problem: `${source}: found ${
      describeText(definition, text)
    }, expected ${expected}`,
  };
}

function describeAbsence(
  name: string,
  { presence, schema }: SettingDefinition,
): TextResult {
  if (presence !== "required") return {};
  const names = `--${toFlagName(name)} or ${toVariableName(name)}`;
  return {
    problem: `${names}: found nothing, expected ${describeExpected(schema)}`,
  };
}

/** Returns what a schema expects: its message for an empty text. */
function describeExpected(schema: SettingDefinition["schema"]): string {
  const result = v.safeParse(schema, "", { abortPipeEarly: true });
  return result.success ? "a text" : result.issues[0].message;
}

function describeText(definition: SettingDefinition, text: string): string {
  return definition.secret
    ? `a secret of ${text.length} characters`
    : describeInput(text);
}
