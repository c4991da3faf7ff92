/**
 * SHA-256 and length of a body that arrives in parts.
 *
 * Most answers are short. Their parts are kept and digested at once at the
 * end, which costs far less than a streaming hash for each.
 */

import { createHash, hash } from "node:crypto";
import type { Hash } from "node:crypto";
import type { IncrementalDigest } from "@dandelionbank/track-requests";

const MAX_KEPT_BYTES = 32 * 1024;

export function createBodyDigest(): IncrementalDigest {
  return new BodyDigest();
}

class BodyDigest implements IncrementalDigest {
  #lengthBytes = 0;
  #text = "";
  #stream: Hash | undefined;

  get lengthBytes(): number {
    return this.#lengthBytes;
  }

  add(data: string, encoding: "utf8" | "base64"): void {
    if (encoding === "base64") return this.#addBytes(data);
    this.#lengthBytes += Buffer.byteLength(data);
    if (this.#stream !== undefined) {
      this.#stream.update(data);
      return;
    }
    this.#text += data;
    if (this.#lengthBytes > MAX_KEPT_BYTES) this.#startStream();
  }

  finish(): string {
    return this.#stream?.digest("hex") ?? hash("sha256", this.#text);
  }

  #addBytes(data: string): void {
    const bytes = Buffer.from(data, "base64");
    this.#lengthBytes += bytes.length;
    this.#startStream().update(bytes);
  }

  #startStream(): Hash {
    if (this.#stream !== undefined) return this.#stream;
    this.#stream = createHash("sha256").update(this.#text);
    this.#text = "";
    return this.#stream;
  }
}
