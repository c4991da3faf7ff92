/** `status`: prints the status report of the first entry that answers. */

import { describeStatus } from "../describe_objects.ts";
import type { CommonArguments, ToolContext } from "../tool_context.ts";

export async function showStatus(
  args: CommonArguments,
  context: ToolContext,
): Promise<void> {
  const status = await context.createClient(args).status();
  if (args.json) return context.printJson(status);
  context.print(describeStatus(status));
}
