/** Prints events as text by consola, without the parts that draw in colour. */

import type { LogLevel } from "@dandelionbank/log-events";
import { createConsola } from "consola/basic";
import type { LogSink, LogStream } from "./log_reporter.ts";

const ALL_LEVELS = 5;
/** Repeats are printed as they come, since each is an event of its own. */
const NO_THROTTLE = Number.MAX_SAFE_INTEGER;

export function createTextSink(stream: LogStream): LogSink {
  const consola = createConsola({
    level: ALL_LEVELS,
    stdout: stream as NodeJS.WriteStream,
    stderr: stream as NodeJS.WriteStream,
    throttleMin: NO_THROTTLE,
  });
  const print: Readonly<Record<LogLevel, (line: string) => void>> = {
    debug: (line) => consola.debug(line),
    info: (line) => consola.info(line),
    warn: (line) => consola.warn(line),
    error: (line) => consola.error(line),
  };
  return (event) => {
    print[event.level](`${event.id} ${escapeControls(event.text)}`);
  };
}

/** A text from outside must not steer the terminal or begin a line of its own. */
function escapeControls(text: string): string {
  return text.replace(
    /\p{Cc}/gu,
    (control) => JSON.stringify(control).slice(1, -1),
  );
}
