/** Memory in use after a garbage collection; loading this module exposes `gc`. */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose_gc");
const collect: () => void = runInNewContext("gc");

/** Collects garbage and returns the bytes in use, external buffers included. */
export function readLiveBytes(): number {
  collect();
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
