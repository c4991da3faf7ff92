/** Filters log events by level, redacts secrets and passes the events to a sink. */

import {
  createLogEvent,
  type LogEvent,
  type LogFields,
  type Logger,
  type LogLevel,
} from "@dandelionbank/log-events";
import { createRedactor, type Redactor } from "./redact_fields.ts";

const LEVEL_SEVERITIES: Readonly<Record<LogLevel, number>> = {
  debug: 0,
  info: 1,
  warn: 2,
  error: 3,
};

/** The part of a writable stream that a reporter needs. */
export interface LogStream {
  readonly isTTY?: boolean;
  write(text: string): unknown;
}

export interface LogReporterOptions {
  /** `auto` is `text` on a terminal and `json` elsewhere. */
  readonly format: "auto" | "text" | "json";
  readonly level: LogLevel;
  readonly stream: LogStream;
  /** Name of the process, to tell the lines of several processes apart. */
  readonly source?: string;
  /** Texts that are redacted in every line. */
  readonly secrets?: readonly string[];
  readonly now?: () => Date;
}

/** Prints an event. */
export type LogSink = (event: LogEvent) => void;

export async function createLogReporter(
  options: LogReporterOptions,
): Promise<Logger> {
  const sink = await createSink(options);
  const redact = createRedactor(options.secrets ?? []);
  return new LogReporter(sink, { redact, level: options.level });
}

interface ReporterFilters {
  readonly redact: Redactor;
  readonly level: LogLevel;
}

class LogReporter implements Logger {
  readonly #sink: LogSink;
  readonly #redact: Redactor;
  readonly #minSeverity: number;

  constructor(sink: LogSink, { redact, level }: ReporterFilters) {
    this.#sink = sink;
    this.#redact = redact;
    this.#minSeverity = LEVEL_SEVERITIES[level];
  }

  log(name: Parameters<Logger["log"]>[0], fields: LogFields): void {
    const event = createLogEvent(name, this.#redact(fields));
    if (LEVEL_SEVERITIES[event.level] < this.#minSeverity) return;
    this.#sink(event);
  }
}

async function createSink(options: LogReporterOptions): Promise<LogSink> {
  const { format, stream, source, now = () => new Date() } = options;
  const isText = format === "text" || (format === "auto" && stream.isTTY);
  if (!isText) {
    return (event) => {
      stream.write(renderJson(event, { time: now(), source }));
    };
  }
  const { createTextSink } = await import("./text_sink.ts");
  return createTextSink(stream);
}

function renderJson(
  event: LogEvent,
  { time, source }: {
    readonly time: Date;
    readonly source: string | undefined;
  },
): string {
  return `${JSON.stringify({ time: time.toISOString(), source, ...event })}\n`;
}
