/** Digests that stand for request keys and requests in the cores. */

import { createHash, hash } from "node:crypto";

/** Bytes of the digest that stands for a key. */
const KEY_ID_BYTES = 16;

/** Stands for organisation and key together. */
export function digestKey(organisation: string, key: string): string {
  const digest = hash("sha256", `${organisation}\n${key}`, "buffer");
  return digest.toString("base64url", 0, KEY_ID_BYTES);
}

export interface FingerprintedRequest {
  readonly organisation: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** Digest of organisation, operation and body, in hexadecimal. */
export function digestRequest(request: FingerprintedRequest): string {
  const { organisation, method, path, body } = request;
  const operation = JSON.stringify([organisation, method, path]);
  return createHash("sha256").update(operation).update(body).digest("hex");
}
