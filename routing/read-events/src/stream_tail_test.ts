import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { StreamTail } from "./mod.ts";

const EVENTS = `data: ${"x".repeat(90)}\n\ndata: b\r\n\r\n`;

test("Any chunks show whether the stream ends after an event", () => {
  const text = `${EVENTS}data: [DONE]\n\n`;
  fc.assert(
    fc.property(
      fc.nat(text.length),
      fc.integer({ min: 1, max: 100 }),
      (length, chunkBytes) => {
        const tail = readTail(text.slice(0, length), chunkBytes);
        const isAtEnd = [0, 98, EVENTS.length, text.length].includes(length);
        assert.equal(tail.endsAfterEvent, isAtEnd, String(length));
        assert.equal(tail.endsAfterFinalEvent, length === text.length);
      },
    ),
  );
});

test("Blank lines may follow the final event or stand alone", () => {
  for (const blankLines of ["\n", "\r\n", "\n\r\n\n"]) {
    const tail = readTail(`${EVENTS}data: [DONE]\n\n${blankLines}`, 7);
    assert.ok(tail.endsAfterEvent);
    assert.ok(tail.endsAfterFinalEvent);
    assert.ok(readTail(blankLines, 1).endsAfterEvent);
  }
});

test("Text that names the final event does not end a stream", () => {
  const tail = readTail(`${EVENTS}data: say data: [DONE]\n\n`, 7);
  assert.ok(tail.endsAfterEvent);
  assert.ok(!tail.endsAfterFinalEvent);
});

function readTail(text: string, chunkBytes: number): StreamTail {
  const tail = StreamTail.create();
  for (let at = 0; at < text.length; at += chunkBytes) {
    tail.push(Buffer.from(text.slice(at, at + chunkBytes)));
  }
  return tail;
}
