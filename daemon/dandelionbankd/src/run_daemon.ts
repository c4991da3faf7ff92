/**
 * Reads the settings, runs the process for the given role until a stop signal, and
 * returns the exit code: 0 after a graceful stop, 1 if the process could not start,
 * 2 if a setting is invalid.
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
} from "@dandelionbank/stop-process";
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
  const result = await readDaemonSettings(options);
  switch (result.kind) {
    case "help":
      output.write(`${result.text}\n`);
      return 0;
    case "version":
      output.write(`dandelionbankd ${version}\n`);
      return 0;
    case "invalid":
      for (const problem of result.problems) errors.write(`${problem}\n`);
      return EXIT_USAGE;
    case "ok":
      return await runProcess(result.settings, { options, version });
  }
}

async function runProcess(
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

/** Imports only the code of the given role. */
async function createProcess(
  settings: EntrySettings | AgentSettings,
  dependencies: {
    readonly logger: Logger;
    readonly registry: Registry;
    readonly version: string;
  },
): Promise<RunningProcess> {
  if (settings.role === "entry") {
    const { EntryProcess } = await import("@dandelionbank/serve-entry");
    return await EntryProcess.create({ ...dependencies, settings });
  }
  const { AgentProcess } = await import("@dandelionbank/serve-agent");
  return await AgentProcess.create({ ...dependencies, settings });
}
