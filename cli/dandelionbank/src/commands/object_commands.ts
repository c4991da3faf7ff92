/** The commands of one kind of object: `get`, `list`, `set` and `delete`. */

import type { WritableKind } from "@dandelionbank/operator-api";
import { CONFIG_OBJECT_NAME } from "@dandelionbank/parse-objects";
import type { Argv } from "yargs";
import type { CommonArguments, ToolContext } from "../tool_context.ts";
import { deleteObject } from "./delete_object.ts";
import { getObject } from "./get_object.ts";
import { listObjects } from "./list_objects.ts";
import { planStop } from "./plan_stop.ts";
import { setObject } from "./set_object.ts";
import { WRITE_OPTIONS } from "./write_value.ts";

type Parser = Argv<CommonArguments>;

/** The parser that the commands are added to, and the context in which they run. */
interface CommandParent {
  readonly parser: Parser;
  readonly context: ToolContext;
}

const FILE_ARGUMENT = {
  type: "string",
  demandOption: true,
  description: "JSON file with the value, or - for standard input",
} as const;

/** Adds the commands of `contract` and `operator`, named objects read from a file. */
export function addNamedCommands(
  kind: "contract" | "operator",
  parent: CommandParent,
): Parser {
  addGet(kind, parent);
  addList(kind, parent);
  addDelete(kind, parent);
  const { parser, context } = parent;
  return parser.command(
    "set <name> <file>",
    `Write the ${kind} from a JSON file`,
    (set) =>
      set.positional("name", nameArgument(kind))
        .positional("file", FILE_ARGUMENT)
        .options(WRITE_OPTIONS),
    (args) => setObject({ ...args, kind }, context),
  ).demandCommand(1, 1, `Name a command of ${kind}, see --help`);
}

/** Adds the commands of `config`, a single object with a fixed name. */
export function addConfigCommands({ parser, context }: CommandParent): Parser {
  const kind = "config";
  const name = CONFIG_OBJECT_NAME;
  addList(kind, { parser, context });
  return parser.command(
    "get",
    "Show the configuration",
    (get) => get,
    (args) => getObject({ ...args, kind, name }, context),
  ).command(
    "set <file>",
    "Write the configuration from a JSON file",
    (set) => set.positional("file", FILE_ARGUMENT).options(WRITE_OPTIONS),
    (args) => setObject({ ...args, kind, name }, context),
  ).demandCommand(1, 1, "Name a command of config, see --help");
}

/** Adds the commands of `stop`, which is planned with a target's name and a reason. */
export function addStopCommands(parent: CommandParent): Parser {
  const kind = "stop";
  addGet(kind, parent);
  addList(kind, parent);
  addDelete(kind, parent);
  const { parser, context } = parent;
  return parser.command(
    "set <name>",
    "Plan the stop of a target: it finishes its requests and accepts no more",
    (set) =>
      set.positional("name", nameArgument("target"))
        .option("reason", {
          type: "string",
          requiresArg: true,
          demandOption: true,
          description: "Why the target is to stop",
        })
        .options(WRITE_OPTIONS),
    (args) => planStop(args, context),
  ).demandCommand(1, 1, "Name a command of stop, see --help");
}

function addGet(
  kind: Exclude<WritableKind, "config">,
  { parser, context }: CommandParent,
): void {
  parser.command(
    "get <name>",
    `Show the ${kind}: the value on standard output, the revision on standard error`,
    (get) => get.positional("name", nameArgument(kind)),
    (args) => getObject({ ...args, kind }, context),
  );
}

function addList(kind: WritableKind, { parser, context }: CommandParent): void {
  parser.command(
    "list",
    `List every ${kind}`,
    (list) => list,
    (args) => listObjects({ ...args, kind }, context),
  );
}

function addDelete(
  kind: Exclude<WritableKind, "config">,
  { parser, context }: CommandParent,
): void {
  parser.command(
    "delete <name>",
    `Delete the ${kind}`,
    (remove) =>
      remove.positional("name", nameArgument(kind))
        .option("revision", WRITE_OPTIONS.revision),
    (args) => deleteObject({ ...args, kind }, context),
  );
}

function nameArgument(kind: string) {
  return {
    type: "string",
    demandOption: true,
    description: `Name of the ${kind}`,
  } as const;
}
