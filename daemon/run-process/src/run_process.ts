/** What every long-lived process does alike: wait for a signal and stop. */

import { DandelionError } from "@dandelionbank/error";
import type { Logger } from "@dandelionbank/log-events";
import process from "node:process";

export interface RunningProcess {
  start(): Promise<void>;
  /** Resolves when nothing is under way any more. */
  stop(): Promise<void>;
}

/** Resolves with the name of the first signal to stop. */
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

/** An error with its code, step, peer and hint, if it is one of ours. */
export function describeError(error: unknown): string {
  if (!(error instanceof DandelionError)) return String(error);
  const { code, message, step, peer, hint } = error;
  const where = peer === undefined ? step : `${step}, ${peer}`;
  return `${code}: ${message} (${where}). ${hint}`;
}
