/** Prints log events as text on a terminal, else as JSON lines. */

export { createLogReporter } from "./log_reporter.ts";
export type { LogReporterOptions, LogStream } from "./log_reporter.ts";
export { BoundedLogStream } from "./bounded_stream.ts";
