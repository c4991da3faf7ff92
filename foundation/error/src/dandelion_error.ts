/**
 * The error class of the project. Its code is stable across versions; the step
 * and the peer say where the error occurred.
 */

import verror from "verror";

export interface ErrorOptions {
  /** Stable, in the form `DANDELIONBANK_WHAT_HAPPENED`. */
  readonly code: string;
  /** The operation that failed, for example `read config`. */
  readonly step: string;
  /** Name or address of the remote side, if one was involved. */
  readonly peer?: string;
  /** What the reader can do about the error. */
  readonly hint: string;
  readonly cause?: unknown;
}

export class DandelionError extends verror.VError {
  readonly code: string;
  readonly step: string;
  readonly peer: string | undefined;
  readonly hint: string;

  constructor(message: string, options: ErrorOptions) {
    super(
      {
        name: "DandelionError",
        ...(options.cause instanceof Error ? { cause: options.cause } : {}),
      },
      "%s",
      message,
    );
    this.code = options.code;
    this.step = options.step;
    this.peer = options.peer;
    this.hint = options.hint;
  }
}

/** Creates an error. The message is in sentence case, without a full stop. */
export function createError(
  message: string,
  options: ErrorOptions,
): DandelionError {
  return new DandelionError(message, options);
}
