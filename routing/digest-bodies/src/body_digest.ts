/**
 * Computes the SHA-256 digest and the length of a body that arrives in parts.
 *
 * Most answers are short. Short bodies are buffered and hashed in one call at
 * the end, which is much cheaper than a streaming hash for each body.
 */

import { createHash, hash } from "node:crypto";
import type { Hash } from "node:crypto";
import type { IncrementalDigest } from "@dandelionbank/track-requests";

const MAX_BUFFERED_BYTES = 32 * 1024;

export function createBodyDigest(): IncrementalDigest {
  return new BodyDigest();
}

class BodyDigest implements IncrementalDigest {
  #lengthBytes = 0;
  #buffered = "";
  #hash: Hash | undefined;

  get lengthBytes(): number {
    return this.#lengthBytes;
  }

  add(data: string, encoding: "utf8" | "base64"): void {
    if (encoding === "base64") return this.#addBytes(data);
    this.#lengthBytes += Buffer.byteLength(data);
    if (this.#hash !== undefined) {
      this.#hash.update(data);
      return;
    }
    this.#buffered += data;
    if (this.#lengthBytes > MAX_BUFFERED_BYTES) this.#startHash();
  }

  finish(): string {
    return this.#hash?.digest("hex") ?? hash("sha256", this.#buffered);
  }

  #addBytes(data: string): void {
    const bytes = Buffer.from(data, "base64");
    this.#lengthBytes += bytes.length;
    this.#startHash().update(bytes);
  }

  #startHash(): Hash {
    if (this.#hash !== undefined) return this.#hash;
    this.#hash = createHash("sha256").update(this.#buffered);
    this.#buffered = "";
    return this.#hash;
  }
}
