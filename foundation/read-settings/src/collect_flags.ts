/**
 * Splits arguments into flags and their texts. `yargs-parser` is loaded only
 * when there is an argument.
 */

import { type SettingDefinitions, toFlagName } from "./definition.ts";

export interface CollectedFlags {
  /** Texts by setting name. */
  readonly texts: Readonly<Record<string, string>>;
  readonly problems: readonly string[];
  readonly wants: "settings" | "help" | "version";
}

const PARSER_CONFIGURATION = {
  "boolean-negation": false,
  "camel-case-expansion": false,
  "dot-notation": false,
  "duplicate-arguments-array": true,
  "greedy-arrays": false,
  "parse-numbers": false,
  "parse-positional-numbers": false,
  "short-option-groups": false,
} as const;

const NO_FLAGS: CollectedFlags = { texts: {}, problems: [], wants: "settings" };

export async function collectFlags(
  args: readonly string[],
  definitions: SettingDefinitions,
): Promise<CollectedFlags> {
  if (args.length === 0) return NO_FLAGS;
  const { default: parse } = await import("yargs-parser");
  const namesByFlag = mapFlags(definitions);
  const { _: strays, help, version, ...found } = parse([...args], {
    string: [...namesByFlag.keys()],
    boolean: ["help", "version"],
    alias: { help: ["h"] },
    configuration: { ...PARSER_CONFIGURATION, "strip-aliased": true },
  });
  if (help) return { ...NO_FLAGS, wants: "help" };
  if (version) return { ...NO_FLAGS, wants: "version" };
  return sortFlags({ strays, found, namesByFlag });
}

interface ParsedArguments {
  readonly strays: readonly (string | number)[];
  readonly found: Readonly<Record<string, unknown>>;
  readonly namesByFlag: ReadonlyMap<string, string>;
}

function sortFlags(
  { strays, found, namesByFlag }: ParsedArguments,
): CollectedFlags {
  const texts: Record<string, string> = {};
  const problems = strays.map((stray) =>
    `${stray}: found a stray argument, expected flags only`
  );
  for (const [flag, value] of Object.entries(found)) {
    const name = namesByFlag.get(flag);
    if (name === undefined) {
      problems.push(`--${flag}: found an unknown flag, see --help`);
    } else if (Array.isArray(value)) {
      problems.push(`--${flag}: found ${value.length} times, expected once`);
    } else {
      texts[name] = String(value);
    }
  }
  return { texts, problems, wants: "settings" };
}

function mapFlags(definitions: SettingDefinitions): Map<string, string> {
  return new Map(
    Object.keys(definitions).map((name) => [toFlagName(name), name]),
  );
}
