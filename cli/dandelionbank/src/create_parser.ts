/** The tool's commands, as a yargs parser. */

import {
  type SettingDefinition,
  toFlagName,
  toVariableName,
} from "@dandelionbank/read-settings";
import yargs, { type Argv } from "yargs";
import {
  addConfigCommands,
  addNamedCommands,
  addStopCommands,
} from "./commands/object_commands.ts";
import { explainRequest } from "./commands/explain_request.ts";
import { printDigest } from "./commands/print_digest.ts";
import { showStatus } from "./commands/show_status.ts";
import type { CommonArguments, ToolContext } from "./tool_context.ts";
import { failUsage } from "./tool_failure.ts";
import { TOOL_SETTINGS } from "./tool_settings.ts";

export interface ParserOptions {
  readonly context: ToolContext;
  readonly version: string;
}

export function createParser({ context, version }: ParserOptions) {
  return addCommonOptions()
    .command(
      "contract",
      "Read and write organisations' contracts",
      (parser) => addNamedCommands("contract", { parser, context }),
    )
    .command(
      "config",
      "Read and write the configuration",
      (parser) => addConfigCommands({ parser, context }),
    )
    .command(
      "stop",
      "Plan and withdraw stops of targets",
      (parser) => addStopCommands({ parser, context }),
    )
    .command(
      "operator",
      "Read and write operators and their keys",
      (parser) => addNamedCommands("operator", { parser, context }),
    )
    .command(
      "status",
      "Show what an entry sees: entries, targets, revisions",
      (parser) => parser,
      (args) => showStatus(args, context),
    )
    .command(
      "digest",
      "Print the digest of a key that is read from standard input",
      (parser) => parser,
      (args) => printDigest(args, context),
    )
    .command(
      "explain <requestId>",
      "Show a request's way from the logs of all processes on standard input",
      (parser) =>
        parser.positional("requestId", {
          type: "string",
          demandOption: true,
          description: "The request's id, as callers and logs have it",
        }),
      (args) => explainRequest(args, context),
    )
    .demandCommand(1, "Name a command, see --help")
    .strict()
    .version(version)
    .help()
    .alias("help", "h")
    .wrap(null)
    .epilogue(
      "Exit codes: 0 done, 1 refused or a lost race, 2 wrong usage, 3 nothing reachable, 4 unsettled",
    );
}

function addCommonOptions(): Argv<CommonArguments> {
  return yargs()
    .scriptName("dandelionbank")
    .usage("$0 <command>")
    .detectLocale(false)
    .exitProcess(false)
    .parserConfiguration({
      "boolean-negation": false,
      "dot-notation": false,
      "duplicate-arguments-array": false,
      "parse-numbers": false,
      "parse-positional-numbers": false,
    })
    .fail((message, error) => {
      throw error ?? failUsage(message);
    })
    .option(
      toFlagName("entryUrl"),
      toOption("entryUrl", TOOL_SETTINGS.entryUrl),
    )
    .option("key", toOption("key", TOOL_SETTINGS.key))
    .option(
      toFlagName("timeoutMs"),
      toOption("timeoutMs", TOOL_SETTINGS.timeoutMs),
    )
    .option("json", {
      type: "boolean",
      default: false,
      description: "Write results and refusals as JSON",
    }) as Argv<CommonArguments>;
}

/** A default is left to the settings, since a variable comes before it. */
function toOption(
  name: string,
  { help, defaultText, unit }: SettingDefinition,
) {
  const shown = defaultText && `, by default ${defaultText} ${unit ?? ""}`;
  return {
    type: "string",
    requiresArg: true,
    global: true,
    description: `${help}${shown ?? ""} [${toVariableName(name)}]`,
  } as const;
}
