/** An incremental FNV-1a hash of the text, used in place of SHA-256 to keep runs fast. */

import type { IncrementalDigest } from "@dandelionbank/track-requests";

const FNV_OFFSET_BASIS = 2_166_136_261;
const FNV_PRIME = 16_777_619;

export function createTextDigest(): IncrementalDigest {
  let hash = FNV_OFFSET_BASIS;
  let lengthBytes = 0;
  return {
    add: (data) => {
      lengthBytes += data.length;
      for (let at = 0; at < data.length; at++) {
        hash = Math.imul(hash ^ data.charCodeAt(at), FNV_PRIME);
      }
    },
    get lengthBytes() {
      return lengthBytes;
    },
    finish: () => (hash >>> 0).toString(16),
  };
}
