import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "./mod.ts";

const STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

test("Bytes are returned unchanged and only up to event boundaries", () => {
  const bytes = Buffer.from(STREAM);
  fc.assert(
    fc.property(fc.array(fc.nat(bytes.length)), (cuts) => {
      const splitter = EventSplitter.create();
      const ends = [0, ...cuts.sort((a, b) => a - b), bytes.length];
      let output = "";
      for (let index = 1; index < ends.length; index++) {
        const chunk = bytes.subarray(ends[index - 1], ends[index]);
        const events = splitter.push(chunk);
        if (events === undefined) continue;
        assert.match(events.bytes.toString(), /\r?\n\r?\n$/);
        output += events.bytes.toString();
      }
      assert.equal(output, STREAM);
      assert.equal(splitter.pendingBytes, 0);
    }),
  );
});

test("Blank lines around events belong to no event, wherever chunks end", () => {
  const bytes = Buffer.from("\n\r\ndata: a\n\n\n\r\ndata: b\r\n\r\n\r\n\n");
  fc.assert(
    fc.property(fc.array(fc.nat(bytes.length)), (cuts) => {
      const splitter = EventSplitter.create();
      const ends = [0, ...cuts.sort((a, b) => a - b), bytes.length];
      const chunks = ends.slice(1).map((end, index) =>
        bytes.subarray(ends[index], end)
      );
      const events = chunks.flatMap((chunk) => splitter.push(chunk) ?? []);
      const output = Buffer.concat(events.map((event) => event.bytes));
      assert.deepEqual(output, bytes);
      assert.equal(events.reduce((sum, { count }) => sum + count, 0), 2);
      assert.equal(splitter.pendingBytes, 0);
    }),
  );
});

test("An incomplete event is held back", () => {
  const splitter = EventSplitter.create();
  assert.equal(splitter.push(Buffer.from("id: 1\ndata: a\n")), undefined);
  assert.equal(splitter.pendingBytes, 14);
  const events = splitter.push(Buffer.from("\nid: 2\ndata"));
  assert.equal(events?.bytes.toString(), "id: 1\ndata: a\n\n");
  assert.equal(events?.count, 1);
});

test("A chunk takes time by its own length, whatever is pending", () => {
  const splitter = EventSplitter.create();
  const chunk = Buffer.alloc(1_024, "x");
  const startedAtMs = performance.now();
  for (let index = 0; index < 20_000; index++) splitter.push(chunk);
  const elapsedMs = performance.now() - startedAtMs;
  assert.equal(splitter.pendingBytes, 20_480_000);
  assert.ok(elapsedMs < 2_000, `${elapsedMs} ms`);
});

test("The number of events is that of the text's blocks", () => {
  const text = fc.array(
    fc.constantFrom(
      "\n",
      "\r\n",
      "\n\n",
      "\r",
      "id:",
      "id: 1",
      "xid:2",
      "x",
      " ",
    ),
  ).map((parts) => `${parts.join("")}\n\n`);
  fc.assert(
    fc.property(text, (stream) => {
      const events = EventSplitter.create().push(Buffer.from(stream));
      const blocks = stream.split(/(?:^|\n)(?:\r?\n)+/);
      const withText = blocks.filter((block) => block.trim() !== "");
      assert.equal(events?.bytes.toString(), stream);
      assert.equal(events?.count, withText.length);
    }),
  );
});

// Guards against a target that takes the entry's core by comments without end in
// large reads, where few pieces arrive.
test("A chunk takes time by its own length, however many events it completes", () => {
  const sizeBytes = 16_384;
  const one = Buffer.from(`${"x".repeat(sizeBytes)}\n\n`);
  const many = Buffer.from(":\n\n".repeat(sizeBytes / 3));
  measureLeastMs(many);
  const ratio = measureLeastMs(many) / measureLeastMs(one);
  assert.ok(ratio < 10, `${ratio} times the time of one event`);
});

/** The least of several measurements, so that other processes change little. */
function measureLeastMs(chunk: Buffer): number {
  const elapsedMs = Array.from({ length: 20 }, () => {
    const splitter = EventSplitter.create();
    const startedAtMs = performance.now();
    for (let index = 0; index < 50; index++) splitter.push(chunk);
    return performance.now() - startedAtMs;
  });
  return Math.min(...elapsedMs);
}
