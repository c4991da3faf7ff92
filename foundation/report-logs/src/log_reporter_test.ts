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

async function reportTo(
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

test("Off a terminal, an event is one JSON object a line", async () => {
  const stream = createCapture(false);
  const logger = await reportTo(stream);
  logger.log("processStopped", { elapsedMs: 12 });
  assert.deepEqual(stream.lines, [
    '{"time":"1970-01-01T00:00:00.000Z","id":1002,"name":"processStopped",' +
    '"level":"info","text":"Stopped after 12 ms","fields":{"elapsedMs":12}}\n',
  ]);
});

test("On a terminal, an event is a line of text, each repeat too", async () => {
  const stream = createCapture(true);
  const logger = await reportTo(stream);
  for (let i = 0; i < 10; i++) logger.log("processStopping", { signal: "S" });
  logger.log("invariantViolated", { invariant: "i", detail: "d" });
  assert.equal(stream.lines.length, 11);
  assert.match(stream.lines[0] ?? "", /1001 Stopping on S\n$/);
  assert.match(stream.lines[10] ?? "", /1003 Invariant i violated: d\n$/);
});

test("Controls in a text from outside are escaped", async () => {
  const stream = createCapture(true);
  const logger = await reportTo(stream);
  logger.log("platformUnreachable", { message: "a\n\u001b[31mb %s" });
  assert.equal(
    stream.lines.join(""),
    "[warn] 4000 The platform does not answer: a\\n\\u001b[31mb %s\n",
  );
});

test("The format can be forced", async () => {
  const terminal = createCapture(true);
  (await reportTo(terminal, { format: "json" })).log("viewAdvanced", {});
  assert.match(terminal.lines[0] ?? "", /^\{"time"/);
  const file = createCapture(false);
  (await reportTo(file, { format: "text" })).log("viewAdvanced", {});
  assert.match(file.lines[0] ?? "", /6000 View is at revision/);
});

const COUNTS: readonly (readonly [LogLevel, number])[] = [
  ["debug", 4],
  ["info", 3],
  ["warn", 2],
  ["error", 1],
];

for (const [level, count] of COUNTS) {
  test(`Level ${level} lets ${count} of four events through`, async () => {
    const stream = createCapture(false);
    const logger = await reportTo(stream, { level });
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
      const logger = await reportTo(stream, { format, secrets });
      logger.log("platformUnreachable", fields);
      assert.doesNotMatch(stream.lines.join(""), /hush/);
      assert.match(stream.lines.join(""), /4000/);
    }
  });
}
