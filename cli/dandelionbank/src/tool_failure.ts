/** Failures of commands and the exit codes of the tool. */

export const EXIT_CODES = {
  done: 0,
  /** The call was refused, or the change conflicted with another one. */
  refused: 1,
  usage: 2,
  /** No entry answered, or no entry could reach the platform. */
  unreachable: 3,
  /** A write may or may not have taken effect. */
  unsettled: 4,
} as const;

export type FailureKind = Exclude<keyof typeof EXIT_CODES, "done">;

export interface FailureReport {
  /** Report for people; `--json` prints the first line, a summary, as `message`. */
  readonly lines: readonly string[];
  /** Details for programs, printed with `--json`. */
  readonly details?: object;
}

export class ToolFailure extends Error {
  readonly kind: FailureKind;
  readonly report: FailureReport;

  constructor(kind: FailureKind, report: FailureReport) {
    super(report.lines[0]);
    this.kind = kind;
    this.report = report;
  }

  get exitCode(): number {
    return EXIT_CODES[this.kind];
  }
}

export function failUsage(...lines: string[]): ToolFailure {
  return new ToolFailure("usage", { lines });
}
