/**
 * Signal handling, graceful stop and error texts shared by all long-lived
 * processes.
 */

import { DandelionError } from "@dandelionbank/error";
import type { Logger } from "@dandelionbank/log-events";
import process from "node:process";

export interface RunningProcess {
  start(): Promise<void>;
  /** Resolves when all work in progress has ended. */
  stop(): Promise<void>;
}

/** Resolves with the name of the first stop signal. */
export function waitForStopSignal(): Promise<string> {
  return new Promise((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      process.on(signal, () => resolve(signal));
    }
  });
}

export async function stopGracefully(
  running: RunningProcess,
  { logger, signal }: { readonly logger: Logger; readonly signal: string },
): Promise<void> {
  logger.log("processStopping", { signal });
  const startedMs = performance.now();
  await running.stop();
  const elapsedMs = Math.round(performance.now() - startedMs);
  logger.log("processStopped", { elapsedMs });
}

/**
 * Formats an error, with code, step, peer and hint if it is a
 * `DandelionError`.
 */
export function describeError(error: unknown): string {
  if (!(error instanceof DandelionError)) return String(error);
  const { code, message, step, peer, hint } = error;
  const context = peer === undefined ? step : `${step}, ${peer}`;
  return `${code}: ${message} (${context}). ${hint}`;
}
