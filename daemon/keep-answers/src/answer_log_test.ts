import { parseFrame } from "@dandelionbank/attempt-codec";
import type { PeerFrame } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test } from "node:test";
import * as fc from "fast-check";
import { AnswerLog, type AnswerReader } from "./mod.ts";

const LOAD = { inFlight: 0, queued: 0, cachedTokens: 0 };

interface RecordingReader extends AnswerReader {
  readonly frames: PeerFrame[];
  isEnded: boolean;
}

test("Readers that join at any time receive the same complete answer", () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ minLength: 1, maxLength: 9 }), { maxLength: 9 }),
      fc.nat(9),
      fc.constantFrom("application/json", "text/plain"),
      (chunks, joinAt, contentType) => {
        const expected = Buffer.concat(chunks);
        fc.pre(contentType !== "application/json" || isUtf8(expected));
        const log = AnswerLog.create("first", 0);
        const early = createReader("first");
        const late = createReader("second");
        log.addReader(early);
        log.writeHead(200, contentType);
        chunks.forEach((chunk, index) => {
          if (index === joinAt) log.addReader(late);
          log.writeData(Buffer.from(chunk), 0);
        });
        if (joinAt >= chunks.length) log.addReader(late);
        log.end(LOAD);
        for (const reader of [early, late]) assertComplete(reader, expected);
        assert.deepEqual(late.frames[0], {
          type: "admitted",
          attemptId: "second",
          answeredBy: "first",
        });
      },
    ),
    { seed: 2, numRuns: 300 },
  );
});

test("A heartbeat is sent only after an idle interval, and never after the end", () => {
  const log = AnswerLog.create("a", 0);
  const reader = createReader("a");
  log.addReader(reader);
  log.writeHead(200, "text/plain");
  log.writeData(Buffer.from("x"), 90);
  log.sendHeartbeat(100, 50);
  assert.equal(countHeartbeats(reader), 0);
  log.sendHeartbeat(140, 50);
  assert.equal(countHeartbeats(reader), 1);
  log.fail("X", { mayHaveRun: true, load: LOAD });
  log.sendHeartbeat(300, 50);
  assert.equal(countHeartbeats(reader), 1);
  assert.equal(reader.isEnded, true);
});

function assertComplete(reader: RecordingReader, expected: Buffer): void {
  let encoding: BufferEncoding = "utf8";
  const chunks: Buffer[] = [];
  let sequence = 0;
  for (const frame of reader.frames) {
    assert.equal(frame.attemptId, reader.attemptId);
    if (frame.type === "head") encoding = frame.encoding;
    if (frame.type !== "data") continue;
    assert.equal(frame.sequence, sequence++);
    chunks.push(Buffer.from(frame.data, encoding));
  }
  const end = reader.frames.at(-1);
  assert.ok(end?.type === "end");
  assert.deepEqual(Buffer.concat(chunks), expected);
  assert.equal(end.lengthBytes, expected.length);
  assert.equal(end.digest, createHash("sha256").update(expected).digest("hex"));
  assert.equal(reader.isEnded, true);
}

function createReader(attemptId: string): RecordingReader {
  const frames: PeerFrame[] = [];
  const reader: RecordingReader = {
    attemptId,
    frames,
    isEnded: false,
    write: (line) => {
      const result = parseFrame(line.trimEnd());
      assert.ok(result.kind === "ok");
      return frames.push(result.frame) > 0;
    },
    end: () => {
      reader.isEnded = true;
    },
  };
  return reader;
}

function countHeartbeats(reader: RecordingReader): number {
  return reader.frames.filter((frame) => frame.type === "heartbeat").length;
}

function isUtf8(bytes: Buffer): boolean {
  return Buffer.from(bytes.toString("utf8"), "utf8").equals(bytes);
}
