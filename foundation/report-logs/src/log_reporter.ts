/** Filters log events by level, removes secrets and hands them to a sink. */

import {
  createLogEvent,
  type LogEvent,
  type LogFields,
  type Logger,
  type LogLevel,
} from "@dandelionbank/log-events";
import { createRedactor, type Redactor } from "./redact_fields.ts";

const LEVEL_RANKS: Readonly<Record<LogLevel, number>> = {
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
  /** The process's name, for lines of several processes in one place. */
  readonly source?: string;
  /** Texts that must not appear in any line. */
  readonly secrets?: readonly string[];
  readonly now?: () => Date;
}

/** Takes an event that is to be printed. */
export type LogSink = (event: LogEvent) => void;

export async function createLogReporter(
  options: LogReporterOptions,
): Promise<Logger> {
  const sink = await createSink(options);
  const redact = createRedactor(options.secrets ?? []);
  return new LogReporter(sink, { redact, level: options.level });
}

interface ReporterParts {
  readonly redact: Redactor;
  readonly level: LogLevel;
}

class LogReporter implements Logger {
  readonly #sink: LogSink;
  readonly #redact: Redactor;
  readonly #minRank: number;

  constructor(sink: LogSink, { redact, level }: ReporterParts) {
    this.#sink = sink;
    this.#redact = redact;
    this.#minRank = LEVEL_RANKS[level];
  }

  log(name: Parameters<Logger["log"]>[0], fields: LogFields): void {
    const event = createLogEvent(name, this.#redact(fields));
    if (LEVEL_RANKS[event.level] < this.#minRank) return;
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
