/** `list`: prints all objects of a kind as a table. */

import type { WritableKind } from "@dandelionbank/operator-api";
import { renderObjectTable } from "../describe_objects.ts";
import type { CommonArguments, ToolContext } from "../tool_context.ts";

export interface ListArguments extends CommonArguments {
  readonly kind: WritableKind;
}

export async function listObjects(
  args: ListArguments,
  context: ToolContext,
): Promise<void> {
  const { kind, json } = args;
  const objects = await context.createClient(args).list(kind);
  if (json) return context.printJson(objects);
  context.print(renderObjectTable(kind, objects));
}
