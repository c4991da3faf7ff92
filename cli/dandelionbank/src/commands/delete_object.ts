/** `delete`: deletes an object if it is still at the revision that was read. */

import type { WritableKind } from "@dandelionbank/operator-api";
import { describeConflict, describeObject } from "../describe_objects.ts";
import type { CommonArguments, ToolContext } from "../tool_context.ts";
import { ToolFailure } from "../tool_failure.ts";
import { parseRevision } from "./write_value.ts";

export interface DeleteArguments extends CommonArguments {
  readonly kind: Exclude<WritableKind, "config">;
  readonly name: string;
  readonly revision?: string | undefined;
}

export async function deleteObject(
  args: DeleteArguments,
  context: ToolContext,
): Promise<void> {
  const { kind, name, json } = args;
  const client = context.createClient(args);
  const expectedRevision = args.revision === undefined
    ? await readRevision()
    : parseRevision(args.revision);
  if (expectedRevision === undefined) throw createNotFoundFailure(args);
  const report = await client.delete({ kind, name, expectedRevision });
  if (report.kind === "conflict") {
    const lines = describeConflict(report);
    throw new ToolFailure("refused", { lines, details: report });
  }
  if (json) return context.printJson(report);
  context.print(`Deleted: ${kind} ${name}`);

  async function readRevision(): Promise<number | undefined> {
    const current = await client.get({ kind, name });
    if (current) context.printNote(`Current: ${describeObject(current)}`);
    return current?.revision;
  }
}

function createNotFoundFailure({ kind, name }: DeleteArguments): ToolFailure {
  return new ToolFailure("refused", {
    lines: [`There is no ${kind} ${name}`],
    details: { kind, name, object: null },
  });
}
