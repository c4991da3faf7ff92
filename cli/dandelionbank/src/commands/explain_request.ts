/**
 * `explain`: prints one request's way through all processes, in order, from
 * their log lines on standard input. Whatever a log collector puts before a
 * line's JSON is skipped.
 */

import type { ToolContext } from "../tool_context.ts";
import { failUsage } from "../tool_failure.ts";

export interface ExplainArguments {
  readonly requestId: string;
  readonly json: boolean;
}

interface LogLine {
  readonly time: string;
  readonly source?: string;
  readonly name: string;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export async function explainRequest(
  { requestId, json }: ExplainArguments,
  context: ToolContext,
): Promise<void> {
  const lines = (await context.readInput()).split("\n").flatMap(parseLine);
  if (lines.length === 0) {
    throw failUsage("Found no log line on standard input, expected JSON lines");
  }
  const found = lines
    .filter(({ fields }) => fields["requestId"] === requestId)
    .sort((left, right) => left.time < right.time ? -1 : 1);
  if (json) return context.printJson(found);
  if (found.length === 0) {
    context.printNote(`No line of ${lines.length} names request ${requestId}`);
  }
  for (const { time, source = "?", text } of found) {
    context.print(`${time}  ${source}  ${text}`);
  }
}

function parseLine(line: string): readonly LogLine[] {
  const start = line.indexOf("{");
  if (start < 0) return [];
  try {
    const value = JSON.parse(line.slice(start)) as Partial<LogLine>;
    const isLine = typeof value.time === "string" &&
      typeof value.text === "string" && typeof value.fields === "object";
    return isLine ? [value as LogLine] : [];
  } catch {
    return [];
  }
}
