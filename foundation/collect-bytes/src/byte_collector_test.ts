import fc from "fast-check";
import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { ByteCollector } from "./mod.ts";

test("The bytes are those of the pieces, in their order", () => {
  const pieces = fc.array(fc.uint8Array({ maxLength: 600 }), { maxLength: 20 });
  fc.assert(fc.property(pieces, (added) => {
    const collector = ByteCollector.create();
    for (const piece of added) collector.add(piece);
    const expected = Buffer.concat(added);
    assert.equal(collector.lengthBytes, expected.length);
    assert.deepEqual(collector.take(), expected);
    assert.equal(collector.lengthBytes, 0);
  }));
});

// Guards against bounds in bytes that bound no memory: a list of pieces takes a
// multiple of their bytes if they are small.
test("Pieces of one byte take at most twice their bytes", () => {
  const collector = ByteCollector.create();
  const read = Buffer.alloc(65_536);
  const before = readUsedBytes();
  for (let index = 0; index < 1_000_000; index++) {
    collector.add(read.subarray(0, 1));
  }
  // A list takes over 100 MB; garbage of the young generation is far less.
  assert.ok(readUsedBytes() - before < 64_000_000);
  assert.equal(collector.lengthBytes, 1_000_000);
  assert.ok(collector.capacityBytes <= 2_000_000);
});

test("The capacity stays within the expected length", () => {
  const collector = ByteCollector.create({ expectedBytes: 1_000 });
  for (let index = 0; index < 10; index++) collector.add(Buffer.alloc(100));
  assert.equal(collector.capacityBytes, 1_000);
});

test("More bytes than expected are collected as well", () => {
  const collector = ByteCollector.create({ expectedBytes: 10 });
  collector.add(Buffer.alloc(300));
  collector.add(Buffer.alloc(300));
  assert.equal(collector.take().length, 600);
});

function readUsedBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
