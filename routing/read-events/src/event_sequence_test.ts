import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EventSequence } from "./mod.ts";

interface Case {
  readonly name: string;
  readonly parts: readonly string[];
  /** Id after which the stream starts. */
  readonly lastId?: string;
  readonly defect: string | undefined;
}

const WITHOUT_ID = "event without an id";

const CASES: readonly Case[] = [
  {
    name: "ids that rise",
    parts: ["id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id:7\r\ndata: c\r\n\r\n"],
    defect: undefined,
  },
  {
    name: "no ids",
    parts: ["data: a\n\n", "event: end\ndata: b\n\n"],
    defect: undefined,
  },
  {
    name:
      "comments, a time to reconnect and blank lines beside events with ids",
    parts: [
      "retry: 100\n\n",
      "id: 1\ndata: a\n\n",
      ": ping\n\n\r\n\nretry: 5\n\n",
    ],
    defect: undefined,
  },
  {
    name: "ids that are no numbers",
    parts: ["id: b\ndata: a\n\nid: a\ndata: b\n\n"],
    defect: undefined,
  },
  {
    name: "a field before the id",
    parts: ["x-version: 2\nid: 1\ndata: a\n\n"],
    defect: undefined,
  },
  {
    name: "an event that comes again",
    parts: ["id: 4\ndata: a\n\n", "id: 4\ndata: a\n\n"],
    defect: "event 4 after event 4",
  },
  {
    name: "a stream that begins anew",
    lastId: "12",
    parts: ["id: 1\ndata: a\n\n"],
    defect: "event 1 after event 12",
  },
  {
    name: "the text of an error behind an event with an id",
    parts: ["id: 4\ndata: a\n\n", "internal error\n\n"],
    defect: WITHOUT_ID,
  },
  {
    name: "the head of an answer behind an event with an id",
    parts: ["id: 4\ndata: a\n\n", "HTTP/1.1 500 Error\r\nx-a: b\r\n\r\n"],
    defect: WITHOUT_ID,
  },
  {
    name: "an event without an id that starts after one",
    lastId: "a",
    parts: ["event: error\ndata: a\n\n"],
    defect: WITHOUT_ID,
  },
];

for (const { name, parts, lastId, defect } of CASES) {
  test(`Of a stream with ${name}, ${defect ?? "nothing"} is a defect`, () => {
    const sequence = EventSequence.create(lastId);
    const defects = parts.map((part) => sequence.add(Buffer.from(part)).defect);
    assert.deepEqual(defects.at(-1), defect);
    assert.ok(defects.slice(0, -1).every((earlier) => earlier === undefined));
  });
}

test("The events before one with a defect are accepted, and no others", () => {
  const sound = "id: 1\ndata: a\n\n: ping\n\nid: 2\r\ndata: b\r\n\r\n\n";
  const sequence = EventSequence.create();
  const rejected = Buffer.from(`${sound}error\n\nid: 3\ndata: c\n\n`);
  const { acceptedBytes, defect } = sequence.add(rejected);
  assert.equal(defect, WITHOUT_ID);
  assert.equal(acceptedBytes, sound.length);
  assert.equal(sequence.lastId, "2");
  sequence.continue();
  const next = Buffer.from("id: 3\ndata: c\n\n");
  const accepted = { acceptedBytes: next.length, defect: undefined };
  assert.deepEqual(sequence.add(next), accepted);
});

test("The last id is that of the last line with one", () => {
  const block = fc.array(
    fc.constantFrom("id:", "id: a", "id:b ", "id", "x", " ", ": id: c"),
  );
  fc.assert(
    fc.property(
      fc.array(block, { minLength: 1 }),
      fc.constantFrom("\n", "\r\n"),
      (blocks, lineEnd) => {
        // From the first id on each event has one.
        const events = blocks.map((lines) => ["id: 0a", ...lines]);
        const text = events.map((lines) =>
          lines.map((line) => line + lineEnd).join("") + lineEnd
        ).join("");
        const ids = events.flat().filter((line) => line.startsWith("id:"));
        const sequence = EventSequence.create();
        assert.deepEqual(sequence.add(Buffer.from(text)), {
          acceptedBytes: text.length,
          defect: undefined,
        });
        assert.equal(sequence.lastId, ids.at(-1)?.slice("id:".length).trim());
      },
    ),
  );
});

test("A stream can be continued if its events have ids, or if it has none", () => {
  const isContinuable = (text: string) => {
    const sequence = EventSequence.create();
    sequence.add(Buffer.from(text));
    return sequence.isContinuable;
  };
  assert.ok(isContinuable(""));
  assert.ok(isContinuable(": ping\n\n"));
  assert.ok(isContinuable("id: 1\ndata: a\n\n"));
  assert.ok(!isContinuable("data: a\n\n"));
});

test("A continuation has an event once one has followed", () => {
  const sequence = EventSequence.create();
  sequence.add(Buffer.from("id: 1\ndata: a\n\n"));
  assert.ok(sequence.hasEvent);
  sequence.continue();
  assert.ok(!sequence.hasEvent);
  sequence.add(Buffer.from(": ping\n\n"));
  assert.ok(!sequence.hasEvent);
  sequence.add(Buffer.from("id: 2\ndata: a\n\n"));
  assert.ok(sequence.hasEvent);
});

test("Events have a defect exactly if their ids do not rise", () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(20), { minLength: 1 }),
      fc.constantFrom("\n", "\r\n"),
      (ids, lineEnd) => {
        const sequence = EventSequence.create();
        const defects = ids.map((id) =>
          sequence.add(
            Buffer.from(`id: ${id}${lineEnd}data: a${lineEnd}${lineEnd}`),
          ).defect
        );
        const at = ids.findIndex((id, index) =>
          index > 0 && id <= ids[index - 1]!
        );
        assert.equal(defects.findIndex((defect) => defect !== undefined), at);
      },
    ),
  );
});

// Guards against a target that takes the entry's core by lines without end.
test("Events take time by their length, however many lines they have", () => {
  const sizeBytes = 16_384;
  const one = Buffer.from(`id: 1\ndata: ${"x".repeat(sizeBytes)}\n\n`);
  const many = Buffer.from("id:\n".repeat(sizeBytes / 4) + "\n");
  measureLeastMs(many);
  const ratio = measureLeastMs(many) / measureLeastMs(one);
  assert.ok(ratio < 10, `${ratio} times the time of one line`);
});

/** The least of several measurements, so that other processes change little. */
function measureLeastMs(events: Buffer): number {
  const elapsedMs = Array.from({ length: 20 }, () => {
    const startedAtMs = performance.now();
    for (let index = 0; index < 50; index++) {
      EventSequence.create().add(events);
    }
    return performance.now() - startedAtMs;
  });
  return Math.min(...elapsedMs);
}
