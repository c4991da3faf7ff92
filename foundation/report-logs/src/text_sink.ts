/** Prints events as text with consola, without its parts for coloured output. */

import type { LogLevel } from "@dandelionbank/log-events";
import { createConsola } from "consola/basic";
import type { LogSink, LogStream } from "./log_reporter.ts";

const ALL_LEVELS = 5;
/** Disables the merging of repeated lines, since each is an event of its own. */
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
    print[event.level](`${event.id} ${escapeControlCharacters(event.text)}`);
  };
}

/** Prevents external text from controlling the terminal or starting a new line. */
function escapeControlCharacters(text: string): string {
  return text.replace(
    /\p{Cc}/gu,
    (character) => JSON.stringify(character).slice(1, -1),
  );
}
