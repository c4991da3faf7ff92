/** `get`: prints the value of one object to standard output. */

import type { WritableKind } from "@dandelionbank/operator-api";
import { describeObject } from "../describe_objects.ts";
import type { CommonArguments, ToolContext } from "../tool_context.ts";
import { ToolFailure } from "../tool_failure.ts";

export interface GetArguments extends CommonArguments {
  readonly kind: WritableKind;
  readonly name: string;
}

export async function getObject(
  args: GetArguments,
  context: ToolContext,
): Promise<void> {
  const { kind, name, json } = args;
  const object = await context.createClient(args).get({ kind, name });
  if (object === undefined) {
    throw new ToolFailure("refused", {
      lines: [`There is no ${kind} ${name}`],
      details: { kind, name, object: null },
    });
  }
  if (json) return context.printJson(object);
  context.printNote(describeObject(object));
  context.printJson(object.value);
}
