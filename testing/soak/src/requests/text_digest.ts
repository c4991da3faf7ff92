/** Stands in for SHA-256 in virtual time: a short hash of the text. */

import type { IncrementalDigest } from "@dandelionbank/track-requests";

const HASH_START = 2_166_136_261;
const HASH_FACTOR = 16_777_619;

export function createTextDigest(): IncrementalDigest {
  let hash = HASH_START;
  let lengthBytes = 0;
  return {
    add: (data) => {
      lengthBytes += data.length;
      for (let at = 0; at < data.length; at++) {
        hash = Math.imul(hash ^ data.charCodeAt(at), HASH_FACTOR);
      }
    },
    get lengthBytes() {
      return lengthBytes;
    },
    finish: () => (hash >>> 0).toString(16),
  };
}
