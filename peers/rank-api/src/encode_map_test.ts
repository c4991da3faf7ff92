import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  applyMapChange,
  decodeMap,
  encodeMap,
  encodeMapChange,
} from "./mod.ts";

/** Generates two maps of the same shape. */
const MAPS = fc.tuple(
  fc.integer({ min: 1, max: 6 }),
  fc.integer({ min: 1, max: 8 }),
  fc.constantFrom(64, 256, 1_000),
).chain(([sets, ranks, experts]) => {
  const map = fc.array(
    fc.array(fc.array(fc.nat(experts - 1), { maxLength: 3 }), {
      minLength: ranks,
      maxLength: ranks,
    }),
    { minLength: sets, maxLength: sets },
  );
  return fc.tuple(map, map);
});

test("Decoding an encoded map or applying its change returns the same map", () => {
  fc.assert(
    fc.property(MAPS, ([before, after]) => {
      assert.deepEqual(decodeMap(encodeMap(after)), after);
      const change = encodeMapChange(before, after);
      assert.deepEqual(applyMapChange(before, change), after);
    }),
  );
});

test("A change of a few experts is encoded in a few bytes", () => {
  const before = [[[0], [1], [2]], [[0], [1], [2]]];
  const after = [[[0], [1], [2]], [[0], [1, 0], [2]]];
  assert.ok(encodeMapChange(before, after).length <= 12);
  assert.equal(encodeMapChange(before, before).length, 4);
});

test("A change for a map of another shape is rejected", () => {
  const change = encodeMapChange([[[0], [1]]], [[[0], [0]]]);
  assert.throws(() => applyMapChange([[[0]]], change), RangeError);
});

test("The map of a group of 72 ranks is encoded in less than 5 kB", () => {
  const map = Array.from(
    { length: 12 },
    () => Array.from({ length: 72 }, (_, rank) => [rank, 100, 143]),
  );
  assert.ok(encodeMap(map).length < 5_000);
});

test("Truncated, extended and corrupt maps are rejected", () => {
  const valid = Buffer.from(encodeMap([[[1, 2], [3]]]), "base64");
  const malformed = [
    Buffer.alloc(0),
    Buffer.alloc(1),
    valid.subarray(0, -1),
    Buffer.concat([valid, Buffer.from([0])]),
    Buffer.from([3, ...valid.subarray(1)]),
    Buffer.from([1, 0xff, 0xff, 0xff, 0xff]),
  ];
  for (const bytes of malformed) {
    assert.throws(() => decodeMap(bytes.toString("base64")), RangeError);
  }
});
