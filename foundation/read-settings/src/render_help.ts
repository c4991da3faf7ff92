/** Renders the text of `--help`. `yargs` is imported only when it is needed. */

import {
  type SettingDefinitions,
  toFlagName,
  toVariableName,
} from "./definition.ts";

export interface HelpOptions {
  readonly program: string;
  readonly summary: string;
  readonly definitions: SettingDefinitions;
}

export async function renderHelp(
  { program, summary, definitions }: HelpOptions,
): Promise<string> {
  const { default: yargs } = await import("yargs");
  const parser = yargs([])
    .scriptName(program)
    .usage(`${summary}\n\nUsage: $0 [settings]`)
    .wrap(null)
    .help(true)
    .version("Print the version")
    .epilogue(
      "A flag takes precedence over its environment variable, shown in brackets.",
    );
  for (const [name, definition] of Object.entries(definitions)) {
    const { help, defaultText, unit } = definition;
    parser.option(toFlagName(name), {
      type: "string",
      requiresArg: true,
      demandOption: definition.presence === "required",
      description: `${help} [${toVariableName(name)}]`,
      ...(defaultText !== undefined && {
        defaultDescription: unit ? `${defaultText} ${unit}` : defaultText,
        default: defaultText,
      }),
    });
  }
  return await parser.getHelp();
}
