/**
 * Runs the role named by the arguments, with the platform's settings file, until
 * SIGTERM. Returns the exit code: 0 after a graceful stop, 1 if the process could
 * not start, 2 if an argument or a setting is invalid.
 */

import { DandelionError } from "@dandelionbank/error";
import type { Logger } from "@dandelionbank/log-events";
import { registerProcessMetrics, Registry } from "@dandelionbank/metrics";
import {
  BOOT_FILE_VARIABLE,
  type BootSettings,
  decodeBootSettings,
} from "@dandelionbank/platform-adapter";
import {
  BoundedLogStream,
  createLogReporter,
} from "@dandelionbank/report-logs";
import {
  describeError,
  stopGracefully,
  waitForStopSignal,
} from "@dandelionbank/stop-process";
import { ObservabilityServer } from "@dandelionbank/serve-observability";
import { readFileSync } from "node:fs";
import process from "node:process";
import { createRole, ROLES } from "./create_role.ts";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
/** How often the number of dropped log lines is logged. */
const DROPPED_INTERVAL_MS = 5_000;
/** The level `info` omits the lines of successful requests. */
const LOG_LEVEL_VARIABLE = "DANDELIONBANK_LOG_LEVEL";
const DEFAULT_METRICS_PORT = 9_464;

export interface NodeOptions {
  /** The role, then flags. */
  readonly args: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly version: string;
}

export async function runNode(options: NodeOptions): Promise<number> {
  const { args, environment, version } = options;
  const [role] = args;
  if (role === undefined || !ROLES.has(role)) {
    const names = [...ROLES].join(" or ");
    process.stderr.write(`usage: dandelionbank ${names}\n`);
    return EXIT_USAGE;
  }
  const stream = BoundedLogStream.create({ fd: process.stdout.fd });
  try {
    const settings = readSettings(environment);
    const logger = await createLogReporter({
      format: "json",
      level: environment[LOG_LEVEL_VARIABLE] === "info" ? "info" : "debug",
      stream,
      source: settings.name,
    });
    await run({ role, settings, logger, stream, version });
    return 0;
  } catch (error) {
    process.stderr.write(`${describeError(error)}\n`);
    return error instanceof DandelionError ? EXIT_USAGE : EXIT_FAILED;
  } finally {
    await stream.flush();
  }
}

interface RunOptions {
  readonly role: string;
  readonly settings: BootSettings;
  readonly logger: Logger;
  readonly stream: BoundedLogStream;
  readonly version: string;
}

async function run(options: RunOptions): Promise<void> {
  const { role, settings, logger, stream, version } = options;
  const { name } = settings;
  const registry = new Registry();
  registerProcessMetrics(registry, { role, name, version });
  const stopSignal = waitForStopSignal();
  const running = await createRole(role, { settings, logger, registry });
  await running.start();
  const observability = await ObservabilityServer.create({
    host: settings.ip,
    port: DEFAULT_METRICS_PORT,
    registry,
    readReadiness: () => ({ isReady: true, reasons: [] }),
  });
  logger.log("processStarted", { role, name, version });
  const reload = () => reloadSettings(logger);
  process.on("SIGHUP", reload);
  const timer = setInterval(
    () => logDropped(stream, logger),
    DROPPED_INTERVAL_MS,
  );
  const signal = await stopSignal;
  await stopGracefully(running, { logger, signal });
  clearInterval(timer);
  await observability.close();
}

function readSettings(
  environment: Readonly<Record<string, string | undefined>>,
): BootSettings {
  const path = environment[BOOT_FILE_VARIABLE] ?? "";
  return decodeBootSettings(readFileSync(path, "utf8"));
}

/**
 * Validates the settings file and logs the result. A running process keeps its
 * settings.
 */
function reloadSettings(logger: Logger): void {
  try {
    readSettings(process.env);
    logger.log("settingsReloaded", { outcome: "valid" });
  } catch (error) {
    logger.log("settingsReloaded", { outcome: describeError(error) });
  }
}

function logDropped(stream: BoundedLogStream, logger: Logger): void {
  const dropped = stream.takeDroppedLineCount();
  if (dropped > 0) logger.log("linesDropped", { dropped });
}
