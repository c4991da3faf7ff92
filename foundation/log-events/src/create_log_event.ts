/** Creates log events from their definitions in the catalogue. */

import { LOG_EVENTS } from "./catalogue.ts";
import type { LogLevel } from "./definition.ts";

export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

export interface LogEvent {
  readonly id: number;
  readonly name: string;
  readonly level: LogLevel;
  readonly text: string;
  readonly fields: LogFields;
}

/** Accepts log events. Each implementation decides how it prints them. */
export interface Logger {
  log(name: keyof typeof LOG_EVENTS, fields: LogFields): void;
}

export function createLogEvent(
  name: keyof typeof LOG_EVENTS,
  fields: LogFields,
): LogEvent {
  const definition = LOG_EVENTS[name];
  return {
    id: definition.id,
    name,
    level: definition.level,
    text: interpolate(definition.text, fields),
    fields,
  };
}

function interpolate(template: string, fields: LogFields): string {
  return template.replace(
    /\{(\w+)\}/g,
    (_, name) => String(fields[name] ?? "?"),
  );
}
