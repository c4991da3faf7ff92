import type { LogFields, LogLevel } from "@dandelionbank/log-events";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogReporter, type LogReporterOptions } from "./mod.ts";

interface Capture {
  readonly lines: string[];
  readonly isTTY: boolean;
  write(text: string): void;
}

function createCapture(isTTY: boolean): Capture {
  const lines: string[] = [];
  return { lines, isTTY, write: (text) => void lines.push(text) };
}

async function createReporter(
  stream: Capture,
  options: Partial<LogReporterOptions> = {},
) {
  return await createLogReporter({
    format: "auto",
    level: "debug",
    stream,
    now: () => new Date(0),
    ...options,
  });
}

test("Without a terminal, each event is one line with a JSON object", async () => {
  const stream = createCapture(false);
  const logger = await createReporter(stream);
  logger.log("processStopped", { elapsedMs: 12 });
  assert.deepEqual(stream.lines, [
    '{"time":"1970-01-01T00:00:00.000Z","id":1002,"name":"processStopped",' +
    '"level":"info","text":"Stopped after 12 ms","fields":{"elapsedMs":12}}\n',
  ]);
});

test("On a terminal, each event is one line of text, and repeats are not merged", async () => {
  const stream = createCapture(true);
  const logger = await createReporter(stream);
  for (let i = 0; i < 10; i++) logger.log("processStopping", { signal: "S" });
  logger.log("invariantViolated", { invariant: "i", detail: "d" });
  assert.equal(stream.lines.length, 11);
  assert.match(stream.lines[0] ?? "", /1001 Stopping on S\n$/);
  assert.match(stream.lines[10] ?? "", /1003 Invariant i violated: d\n$/);
});

test("Control characters in a field are escaped", async () => {
  const stream = createCapture(true);
  const logger = await createReporter(stream);
  logger.log("platformUnreachable", { message: "a\n\u001b[31mb %s" });
  assert.equal(
    stream.lines.join(""),
    "[warn] 4000 The platform does not answer: a\\n\\u001b[31mb %s\n",
  );
});

test("The format can be forced", async () => {
  const terminal = createCapture(true);
  (await createReporter(terminal, { format: "json" })).log("viewAdvanced", {});
  assert.match(terminal.lines[0] ?? "", /^\{"time"/);
  const file = createCapture(false);
  (await createReporter(file, { format: "text" })).log("viewAdvanced", {});
  assert.match(file.lines[0] ?? "", /6000 View is at revision/);
});

const COUNTS: readonly (readonly [LogLevel, number])[] = [
  ["debug", 4],
  ["info", 3],
  ["warn", 2],
  ["error", 1],
];

for (const [level, count] of COUNTS) {
  test(`Level ${level} prints ${count} of four events`, async () => {
    const stream = createCapture(false);
    const logger = await createReporter(stream, { level });
    logger.log("viewAdvanced", {});
    logger.log("processStopped", {});
    logger.log("platformUnreachable", {});
    logger.log("invariantViolated", {});
    assert.equal(stream.lines.length, count);
  });
}

const SECRETS: readonly LogFields[] = [
  { message: "refused hush-hush by peer" },
  { message: "m", peerSecret: "any hush" },
  { message: "m", platformToken: "hush" },
  { message: "m", Authorization: "Bearer hush" },
  { message: "m", dbPassword: "hush" },
];

for (const fields of SECRETS) {
  test(`No secret is printed from ${Object.keys(fields).at(-1)}`, async () => {
    for (const format of ["text", "json"] as const) {
      const stream = createCapture(false);
      const secrets = ["hush-hush", ""];
      const logger = await createReporter(stream, { format, secrets });
      logger.log("platformUnreachable", fields);
      assert.doesNotMatch(stream.lines.join(""), /hush/);
      assert.match(stream.lines.join(""), /4000/);
    }
  });
}
