/**
 * `explain`: prints the history of one request, in order of time, from the log
 * lines of all processes on standard input. A prefix that a log collector puts
 * before the JSON of a line is skipped.
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
  const history = lines
    .filter(({ fields }) => fields["requestId"] === requestId)
    .sort((left, right) => left.time < right.time ? -1 : 1);
  if (json) return context.printJson(history);
  if (history.length === 0) {
    context.printNote(
      `None of ${lines.length} log lines belongs to request ${requestId}`,
    );
  }
  for (const { time, source = "?", text } of history) {
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
