/** `set`: writes an object with the value from a JSON file. */

import type { WritableKind } from "@dandelionbank/operator-api";
import { readValue } from "../read_value.ts";
import type { ToolContext } from "../tool_context.ts";
import { type WriteArguments, writeValue } from "./write_value.ts";

export interface SetArguments extends WriteArguments {
  readonly kind: WritableKind;
  readonly name: string;
  readonly file: string;
}

export async function setObject(
  args: SetArguments,
  context: ToolContext,
): Promise<void> {
  const { kind, name, file } = args;
  const value = await readValue(file, context);
  await writeValue({ kind, name, value }, args, context);
}
