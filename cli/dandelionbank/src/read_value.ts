/** Reads the JSON value of an object from a file or from standard input. */

import { readFile } from "node:fs/promises";
import type { ToolContext } from "./tool_context.ts";
import { failUsage } from "./tool_failure.ts";

/** yargs passes an argument that is a single dash as an empty text. */
const STANDARD_INPUT = "-";

export async function readValue(
  path: string,
  context: ToolContext,
): Promise<unknown> {
  const isStandardInput = path === "" && context.hasArgument(STANDARD_INPUT);
  const text = isStandardInput
    ? await context.readInput()
    : await readText(path);
  try {
    return JSON.parse(text);
  } catch (error) {
    const source = isStandardInput ? "standard input" : path;
    throw failUsage(`${source}: ${(error as Error).message}`);
  }
}

async function readText(path: string): Promise<string> {
  if (path === "") throw failUsage("file: found an empty path");
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    throw failUsage(`${path}: ${(error as Error).message}`);
  }
}
