import assert from "node:assert/strict";
import { test } from "node:test";
import { AgingMap } from "./aging_map.ts";

test("Finds, counts and lists entries, oldest first, across several maps", () => {
  const map = AgingMap.create<number>();
  const count = 40_000;
  for (let index = 0; index < count; index++) map.add(`k${index}`, index);
  assert.equal(map.size, count);
  assert.equal(map.get("k0"), 0);
  assert.equal(map.get("k39999"), 39_999);
  assert.equal(map.get("k40000"), undefined);
  let expected = 0;
  for (const [, value] of map) assert.equal(value, expected++);
  assert.equal(expected, count);
});

test("Deletes entries from either end, also during iteration", () => {
  const map = AgingMap.create<number>();
  for (let index = 0; index < 40_000; index++) map.add(`k${index}`, index);
  assert.equal(map.delete("k39999"), true);
  assert.equal(map.delete("k39999"), false);
  for (const [key, value] of map) {
    if (value < 39_000) map.delete(key);
  }
  assert.equal(map.size, 999);
  assert.equal(map.get("k38999"), undefined);
  assert.equal(map.get("k39000"), 39_000);
  for (const [key] of map) map.delete(key);
  assert.equal(map.size, 0);
  map.add("again", 1);
  assert.deepEqual([...map], [["again", 1]]);
});
