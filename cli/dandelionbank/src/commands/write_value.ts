/** The write operation of all `set` commands: options, revision and report. */

import type { WritableKind } from "@dandelionbank/operator-api";
import { describeConflict, describeObject } from "../describe_objects.ts";
import type { OperatorClient } from "../operator_client.ts";
import type { CommonArguments, ToolContext } from "../tool_context.ts";
import { failUsage, ToolFailure } from "../tool_failure.ts";

const NEW_OBJECT = "new";

export interface WriteArguments extends CommonArguments {
  readonly revision?: string | undefined;
  readonly changeId?: string | undefined;
}

export interface ValueWrite {
  readonly kind: WritableKind;
  readonly name: string;
  readonly value: unknown;
}

/** Options of every `set` command. */
export const WRITE_OPTIONS = {
  revision: {
    type: "string",
    requiresArg: true,
    description:
      "Revision that the change is based on, or `new`; by default the current one",
  },
  "change-id": {
    type: "string",
    requiresArg: true,
    description: "Id of the change, to retry one whose outcome is unknown",
  },
} as const;

export async function writeValue(
  write: ValueWrite,
  args: WriteArguments,
  context: ToolContext,
): Promise<void> {
  const client = context.createClient(args);
  const changeId = args.changeId ?? context.createChangeId();
  const expectedRevision = args.revision === undefined
    ? await readRevision(write, client, context)
    : parseRevision(args.revision);
  const report = await client.set({
    ...write,
    changeId,
    ...(expectedRevision !== undefined && { expectedRevision }),
  });
  if (report.kind === "conflict") {
    const lines = describeConflict(report);
    throw new ToolFailure("refused", { lines, details: report });
  }
  if (args.json) return context.printJson(report);
  for (const text of report.warnings) context.printNote(`Warning: ${text}`);
  context.print(`Written: ${describeObject(report.object)}`);
}

/** Parses a revision, which is at least 1; `new` is returned as undefined. */
export function parseRevision(text: string): number | undefined {
  if (text === NEW_OBJECT) return undefined;
  if (/^[1-9]\d{0,14}$/.test(text)) return Number(text);
  throw failUsage(
    `--revision: found ${JSON.stringify(text)}, expected a number or new`,
  );
}

async function readRevision(
  { kind, name }: ValueWrite,
  client: OperatorClient,
  context: ToolContext,
): Promise<number | undefined> {
  const current = await client.get({ kind, name });
  const description = current
    ? describeObject(current)
    : `none, ${kind} ${name} is new`;
  context.printNote(`Current: ${description}`);
  return current?.revision;
}
