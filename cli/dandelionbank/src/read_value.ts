/** Reads the JSON value that an operator gives, from a file or from standard input. */

import { readFile } from "node:fs/promises";
import type { ToolContext } from "./tool_context.ts";
import { failUsage } from "./tool_failure.ts";

/** yargs hands a lone dash on as an empty text. */
const STANDARD_INPUT = "-";

export async function readValue(
  path: string,
  context: ToolContext,
): Promise<unknown> {
  const isInput = path === "" && context.hasArgument(STANDARD_INPUT);
  const text = isInput ? await context.readInput() : await readText(path);
  try {
    return JSON.parse(text);
  } catch (error) {
    const source = isInput ? "standard input" : path;
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
