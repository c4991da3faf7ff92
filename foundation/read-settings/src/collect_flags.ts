/**
 * Parses command-line arguments into flags and their texts. `yargs-parser` is
 * imported only if there are arguments.
 */

import { type SettingDefinitions, toFlagName } from "./definition.ts";

export interface CollectedFlags {
  /** Texts of flags, keyed by the name of the setting. */
  readonly texts: Readonly<Record<string, string>>;
  readonly problems: readonly string[];
  readonly requested: "settings" | "help" | "version";
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

const NO_FLAGS: CollectedFlags = {
  texts: {},
  problems: [],
  requested: "settings",
};

export async function collectFlags(
  args: readonly string[],
  definitions: SettingDefinitions,
): Promise<CollectedFlags> {
  if (args.length === 0) return NO_FLAGS;
  const { default: parse } = await import("yargs-parser");
  const namesByFlag = indexByFlag(definitions);
  const { _: positionals, help, version, ...flags } = parse([...args], {
    string: [...namesByFlag.keys()],
    boolean: ["help", "version"],
    alias: { help: ["h"] },
    configuration: { ...PARSER_CONFIGURATION, "strip-aliased": true },
  });
  if (help) return { ...NO_FLAGS, requested: "help" };
  if (version) return { ...NO_FLAGS, requested: "version" };
  return resolveFlags({ positionals, flags, namesByFlag });
}

interface ParsedArguments {
  readonly positionals: readonly (string | number)[];
  readonly flags: Readonly<Record<string, unknown>>;
  readonly namesByFlag: ReadonlyMap<string, string>;
}

function resolveFlags(
  { positionals, flags, namesByFlag }: ParsedArguments,
): CollectedFlags {
  const texts: Record<string, string> = {};
  const problems = positionals.map((argument) =>
    `${argument}: found a positional argument, expected flags only`
  );
  for (const [flag, value] of Object.entries(flags)) {
    const name = namesByFlag.get(flag);
    if (name === undefined) {
      problems.push(`--${flag}: found an unknown flag, see --help`);
    } else if (Array.isArray(value)) {
      problems.push(`--${flag}: found ${value.length} times, expected once`);
    } else {
      texts[name] = String(value);
    }
  }
  return { texts, problems, requested: "settings" };
}

function indexByFlag(definitions: SettingDefinitions): Map<string, string> {
  return new Map(
    Object.keys(definitions).map((name) => [toFlagName(name), name]),
  );
}
