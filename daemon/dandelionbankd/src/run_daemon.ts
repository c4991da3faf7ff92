/**
 * Reads the settings, runs the process for its role until it is told to stop,
 * and returns the exit code: 0 after a graceful stop, 1 if it could not start,
 * 2 if a setting is wrong.
 */

import type { Logger } from "@dandelionbank/log-events";
import { registerProcessMetrics, Registry } from "@dandelionbank/metrics";
import {
  type AgentSettings,
  type EntrySettings,
  readDaemonSettings,
} from "@dandelionbank/read-settings";
import { createLogReporter, type LogStream } from "@dandelionbank/report-logs";
import {
  describeError,
  type RunningProcess,
  stopGracefully,
  waitForStopSignal,
} from "@dandelionbank/run-process";
import { readVersion } from "./read_version.ts";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

export interface DaemonOptions {
  readonly args: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly output: LogStream;
  readonly errors: LogStream;
}

export async function runDaemon(options: DaemonOptions): Promise<number> {
  const { output, errors } = options;
  const version = readVersion();
  const read = await readDaemonSettings(options);
  switch (read.kind) {
    case "help":
      output.write(`${read.text}\n`);
      return 0;
    case "version":
      output.write(`dandelionbankd ${version}\n`);
      return 0;
    case "invalid":
      for (const problem of read.problems) errors.write(`${problem}\n`);
      return EXIT_USAGE;
    case "ok":
      return await run(read.settings, { options, version });
  }
}

async function run(
  settings: EntrySettings | AgentSettings,
  context: { readonly options: DaemonOptions; readonly version: string },
): Promise<number> {
  const { options, version } = context;
  const { role, name, peerSecret, platformToken } = settings;
  const logger = await createLogReporter({
    format: settings.logFormat,
    level: settings.logLevel,
    stream: options.output,
    secrets: [peerSecret, ...(platformToken ? [platformToken] : [])],
  });
  const registry = new Registry();
  registerProcessMetrics(registry, { role, name, version });
  const stopSignal = waitForStopSignal();
  try {
    const running = await createProcess(settings, {
      logger,
      registry,
      version,
    });
    await running.start();
    logger.log("processStarted", { role, name, version });
    await stopGracefully(running, { logger, signal: await stopSignal });
    return 0;
  } catch (error) {
    options.errors.write(`${describeError(error)}\n`);
    return EXIT_FAILED;
  }
}

/** Loads only the role's own code. */
async function createProcess(
  settings: EntrySettings | AgentSettings,
  parts: {
    readonly logger: Logger;
    readonly registry: Registry;
    readonly version: string;
  },
): Promise<RunningProcess> {
  if (settings.role === "entry") {
    const { EntryProcess } = await import("@dandelionbank/serve-entry");
    return await EntryProcess.create({ ...parts, settings });
  }
  const { AgentProcess } = await import("@dandelionbank/serve-agent");
  return await AgentProcess.create({ ...parts, settings });
}
