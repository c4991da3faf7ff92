/** The definition of a log event in the catalogue. */

export type LogLevel = "debug" | "info" | "warn" | "error";

export interface LogEventDefinition {
  /** Unique; never reused for another event. */
  readonly id: number;
  readonly level: LogLevel;
  /** Message template; {name} is replaced by the field of that name. */
  readonly text: string;
  /** What an operator can do about it. */
  readonly help: string;
}
