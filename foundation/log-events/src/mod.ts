/** The catalogue of numbered log events, as data. Package `report-logs` prints them. */

export { LOG_EVENTS } from "./catalogue.ts";
export { createLogEvent } from "./create_log_event.ts";
export type { LogEvent, LogFields, Logger } from "./create_log_event.ts";
export type { LogEventDefinition, LogLevel } from "./definition.ts";
