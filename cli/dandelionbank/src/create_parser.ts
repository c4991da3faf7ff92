/** Defines the commands and options of the tool as a yargs parser. */

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
      "Plan and cancel stops of targets",
      (parser) => addStopCommands({ parser, context }),
    )
    .command(
      "operator",
      "Read and write operators and their keys",
      (parser) => addNamedCommands("operator", { parser, context }),
    )
    .command(
      "status",
      "Show the entries, targets and revisions that an entry knows",
      (parser) => parser,
      (args) => showStatus(args, context),
    )
    .command(
      "digest",
      "Print the digest of a key read from standard input",
      (parser) => parser,
      (args) => printDigest(args, context),
    )
    .command(
      "explain <requestId>",
      "Show the history of a request from logs of all processes on standard input",
      (parser) =>
        parser.positional("requestId", {
          type: "string",
          demandOption: true,
          description: "Id of the request, as in the response and in the logs",
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
      "Exit codes: 0 done, 1 refused or conflict, 2 invalid usage, 3 no entry or platform reachable, 4 outcome of a write unknown",
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
      description: "Print results and failures as JSON",
    }) as Argv<CommonArguments>;
}

/** yargs gets no default, since an environment variable takes precedence over it. */
function toOption(
  name: string,
  { help, defaultText, unit }: SettingDefinition,
) {
  const suffix = defaultText && `, by default ${defaultText} ${unit ?? ""}`;
  return {
    type: "string",
    requiresArg: true,
    global: true,
    description: `${help}${suffix ?? ""} [${toVariableName(name)}]`,
  } as const;
}
