import { HEADERS } from "@dandelionbank/platform-adapter";
import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import fc from "fast-check";
import { EmbeddedAnswerDetector } from "./embedded_answer.ts";

const US_PER_MS = 1_000;

const HEAD =
  `HTTP/1.1 200 OK\r\nserver: a\r\ndate: b\r\n${HEADERS.attemptId}: c\r\n\r\n`;

test("The head of another answer is found in a body, wherever chunks end", () => {
  const name = fc.constantFrom(
    HEADERS.attemptId,
    HEADERS.answerSeal.toUpperCase(),
    HEADERS.notRun,
  );
  const fields = fc.array(
    fc.constantFrom("a: b\r\n", "content-length: 3\r\n"),
    {
      maxLength: 10,
    },
  );
  const cuts = fc.array(fc.nat(400));
  fc.assert(
    fc.property(name, fields, cuts, (name, fields, cuts) => {
      const body = `HTTP HTTP/1.1 HHTTP/1.1 503 Status\r\n${
        fields.join("")
      }${name}: c\r\n`;
      assert.ok(detect(body, cuts));
    }),
  );
});

const OTHER_BODIES: Readonly<Record<string, string>> = {
  "a status line": "HTTP/1.1 200 OK\r\nserver: a\r\n\r\ntext",
  "the name of a field": `${HEADERS.attemptId}: a\r\n`,
  "a head as one line of an event": `data: ${
    JSON.stringify(HEAD)
  }\n\nid: 2\ndata: a\n\n`,
  "a status line far before the name of a field": `HTTP/1.1 200 OK\r\n\r\n${
    "a".repeat(2_000)
  }\r\n${HEADERS.attemptId}: a\r\n`,
};

for (const [name, body] of Object.entries(OTHER_BODIES)) {
  test(`A body with ${name} holds no other answer`, () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(body.length)),
        (cuts) => assert.ok(!detect(body, cuts)),
      ),
    );
  });
}

// Guards against a target that takes the entry's core by bytes like those of heads.
test("Bytes like those of heads take a time that is bounded by their length", () => {
  const sizeBytes = 65_536;
  const plain = measureLeastMs(Buffer.from("x".repeat(sizeBytes)));
  for (
    const line of ["HTTP/1.1 200 \n", "HTTP/1.", "H", "HTTP/1.1 200 O\r\n"]
  ) {
    const bytes = Buffer.from(line.repeat(sizeBytes / line.length));
    const usedMs = measureLeastMs(bytes) - plain;
    assert.ok(usedMs < 20, `${usedMs} ms for ${JSON.stringify(line)}`);
  }
});

function detect(body: string, cuts: readonly number[]): boolean {
  const detector = EmbeddedAnswerDetector.create();
  const bytes = Buffer.from(body);
  const ends = [...cuts, bytes.length].sort((a, b) => a - b);
  let start = 0;
  return ends.some((end) => {
    const chunk = bytes.subarray(start, end);
    start = Math.min(end, bytes.length);
    return detector.push(chunk);
  });
}

/**
 * The least processor time of several measurements. On a busy machine the elapsed
 * time is mostly that of other processes.
 */
function measureLeastMs(bytes: Buffer): number {
  const usedMs = Array.from({ length: 5 }, () => {
    const before = process.cpuUsage();
    const detector = EmbeddedAnswerDetector.create();
    for (let at = 0; at < bytes.length; at += 4_096) {
      detector.push(bytes.subarray(at, at + 4_096));
    }
    const { user, system } = process.cpuUsage(before);
    return (user + system) / US_PER_MS;
  });
  return Math.min(...usedMs);
}
