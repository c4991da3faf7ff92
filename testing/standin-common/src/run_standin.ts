/** Runs a stand-in as a process until SIGTERM or SIGINT. */

import {
  type CommonSettings,
  parseSettings,
  type StandinArguments,
} from "./settings.ts";

const USAGE_EXIT_CODE = 2;

export interface RunningStandin {
  /** The base URL, or one per rank for a group. */
  readonly listening: string | readonly string[];
  close(): Promise<void>;
}

export interface RunOptions<Settings> {
  readonly defaults: Settings;
  readonly start: (
    args: StandinArguments<Settings>,
  ) => Promise<RunningStandin>;
}

export async function runStandin<Settings extends CommonSettings>(
  options: RunOptions<Settings>,
): Promise<void> {
  const standin = await options.start(readArguments(options.defaults));
  console.log(JSON.stringify({ listening: standin.listening }));
  const stop = () => void standin.close().then(() => process.exit(0));
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

function readArguments<Settings extends CommonSettings>(
  defaults: Settings,
): StandinArguments<Settings> {
  try {
    return parseSettings(defaults, process.argv.slice(2));
  } catch (error) {
    console.error(String(error));
    process.exit(USAGE_EXIT_CODE);
  }
}
