import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { readBody } from "./read_body.ts";

const PIECES = 1_000_000;

// Guards against a bound in bytes that bounds no memory: a kept piece of one byte
// takes a hundred times its size.
test("A body in pieces of one byte takes no more memory than its bytes", async () => {
  const request = new PassThrough();
  const read = readBody(request as unknown as IncomingMessage, PIECES);
  const piece = Buffer.from("x");
  const before = process.memoryUsage();
  for (let index = 0; index < PIECES; index++) {
    request.emit("data", piece.subarray());
  }
  const after = process.memoryUsage();
  request.emit("end");
  const result = await read;
  assert.ok(result.kind === "ok");
  assert.equal(result.body.length, PIECES);
  const keptBytes = after.heapUsed + after.external -
    before.heapUsed - before.external;
  assert.ok(keptBytes < 20 * PIECES, `${keptBytes} bytes`);
});
