/** SHA-256 of a body that arrives in parts. */

import type { RunningDigest } from "@dandelionbank/track-requests";
import { createHash } from "node:crypto";

export function createRunningDigest(): RunningDigest {
  const hash = createHash("sha256");
  let lengthBytes = 0;
  return {
    add: (data, encoding) => {
      hash.update(data, encoding);
      lengthBytes += Buffer.byteLength(data, encoding);
    },
    get lengthBytes(): number {
      return lengthBytes;
    },
    finish: () => hash.digest("hex"),
  };
}
