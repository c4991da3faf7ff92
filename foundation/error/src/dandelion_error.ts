/**
 * The project's one error class. A code is stable across versions; the step
 * and the peer name where the error arose.
 */

import verror from "verror";

export interface ErrorOptions {
  /** Stable, in the form `DANDELIONBANK_WHAT_HAPPENED`. */
  readonly code: string;
  /** What was being done, such as `read config`. */
  readonly step: string;
  /** Name or address of the other side, if there was one. */
  readonly peer?: string;
  /** What the reader may do. */
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

/** Makes an error from a message in sentence case, without a full stop. */
export function createError(
  message: string,
  options: ErrorOptions,
): DandelionError {
  return new DandelionError(message, options);
}
