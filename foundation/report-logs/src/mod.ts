/** Prints log events as text on a terminal, otherwise as lines of JSON. */

export { createLogReporter } from "./log_reporter.ts";
export type { LogReporterOptions, LogStream } from "./log_reporter.ts";
export { BoundedLogStream } from "./bounded_stream.ts";
