/** `stop set`: plans the stop of a target. */

import type { ToolContext } from "../tool_context.ts";
import { type WriteArguments, writeValue } from "./write_value.ts";

export interface StopArguments extends WriteArguments {
  readonly name: string;
  readonly reason: string;
}

/** Plans a stop. The entry adds the name of the operator who requested it. */
export async function planStop(
  args: StopArguments,
  context: ToolContext,
): Promise<void> {
  const { name, reason } = args;
  const value = { target: name, reason };
  await writeValue({ kind: "stop", name, value }, args, context);
}
