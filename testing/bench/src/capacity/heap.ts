/** Heap in use after a collection. */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose_gc");
const collect: () => void = runInNewContext("gc");

/** Bytes that live, buffers outside the heap included. */
export function readLiveBytes(): number {
  collect();
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
