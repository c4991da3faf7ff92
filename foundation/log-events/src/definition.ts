/** What the catalogue says of an event. */

export type LogLevel = "debug" | "info" | "warn" | "error";

export interface LogEventDefinition {
  /** Never used again for another event. */
  readonly id: number;
  readonly level: LogLevel;
  /** Names the event's fields in braces. */
  readonly text: string;
  /** What an operator may do. */
  readonly help: string;
}
