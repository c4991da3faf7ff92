/** Runs one command and returns its exit code. */

import { createRequire } from "node:module";
import { createParser } from "./create_parser.ts";
import { ToolContext, type ToolProcess } from "./tool_context.ts";
import { EXIT_CODES, ToolFailure } from "./tool_failure.ts";

const PACKAGE: { readonly version: string } = createRequire(import.meta.url)(
  "../package.json",
);

export async function runTool(process: ToolProcess): Promise<number> {
  const context = ToolContext.create(process);
  const parser = createParser({ context, version: PACKAGE.version });
  try {
    await parser.parseAsync([...process.args], {}, (_, __, output) => {
      if (output) context.print(output);
    });
    return EXIT_CODES.done;
  } catch (error) {
    if (!(error instanceof ToolFailure)) throw error;
    return reportFailure(error, process);
  }
}

function reportFailure(
  failure: ToolFailure,
  { args, output, errors }: ToolProcess,
): number {
  const { lines, details } = failure.report;
  errors.write(`${lines.join("\n")}\n`);
  if (args.includes("--json")) {
    const report = {
      exitCode: failure.exitCode,
      message: lines[0],
      ...details,
    };
    output.write(`${JSON.stringify(report, null, 2)}\n`);
  }
  return failure.exitCode;
}
